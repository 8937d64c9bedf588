package org.camphorhall.process

import java.io.IOException
import java.net.BindException

/** Runs [start], which starts a server; an I/O error of it becomes a [BindException]. */
public fun <T> bindOrThrow(start: () -> T): T = try {
    start()
} catch (e: IOException) {
    throw BindException(e.message).apply { initCause(e) }
}

/** Tells whether this error is a [BindException] or was caused by one. */
internal val Throwable.isBindFailure: Boolean
    get() = generateSequence(this) { it.cause }.any { it is BindException }
