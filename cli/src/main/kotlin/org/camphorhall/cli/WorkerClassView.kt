package org.camphorhall.cli

import kotlinx.serialization.Serializable

/** Slots and load of one class of work on a worker. */
@Serializable
internal data class WorkerClassView(val name: String, val slots: Int = 0, val running: Int = 0, val queued: Int = 0)
