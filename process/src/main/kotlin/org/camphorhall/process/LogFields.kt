package org.camphorhall.process

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/** Names of structured log fields that all programs share. */
public object LogFields {
    public const val REQUEST_ID: String = "requestId"
    public const val TASK: String = "task"
    public const val CLASS: String = "class"
    public const val WORKER: String = "worker"
    public const val TENANT: String = "tenant"
    public const val REASON: String = "reason"
}

/** Logs [message] with structured [fields]; fields with a null value are omitted. */
public fun KLogger.event(
    level: Level,
    message: String,
    vararg fields: Pair<String, Any?>,
    cause: Throwable? = null,
): Unit = at(level) {
    this.message = message
    this.cause = cause
    // Objects are logged by toString: the encoder would write the properties of Secret and of the core's ids.
    payload = fields.mapNotNull { (k, v) -> v?.let { k to if (it is Number || it is Boolean) it else "$it" } }.toMap()
}
