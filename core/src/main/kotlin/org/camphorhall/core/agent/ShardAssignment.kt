package org.camphorhall.core.agent

import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.TaskId
import java.util.zip.CRC32

/** Returns the shard of a name. All processes with the same [shardCount] compute the same shard. */
public fun shardOf(name: String, shardCount: Int): Int {
    val crc = CRC32()
    crc.update(name.encodeToByteArray())
    return (crc.value % shardCount).toInt()
}

/** Returns the shard of a job. */
public fun shardOf(job: JobId, shardCount: Int): Int = shardOf(job.value, shardCount)

/** Returns the shard of a task, which is that of its job. */
public fun shardOf(task: TaskId, shardCount: Int): Int = shardOf(task.value.substringBeforeLast('.'), shardCount)
