package org.camphorhall.wire

import org.camphorhall.core.model.Resources
import org.camphorhall.wire.proto.Resources as ResourcesMessage

/** Converts resources to their message. */
public fun Resources.toMessage(): ResourcesMessage = ResourcesMessage.newBuilder()
    .setCpuMillis(cpuMillis)
    .setMemoryMib(memoryMib)
    .setAccelerators(accelerators)
    .build()

/** Converts a message to resources. */
public fun ResourcesMessage.toModel(): Resources = Resources(cpuMillis, memoryMib, accelerators)
