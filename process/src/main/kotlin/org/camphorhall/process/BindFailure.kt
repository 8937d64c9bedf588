package org.camphorhall.process

import java.io.IOException
import java.net.BindException

/** Runs [start], which starts a server, and rethrows its I/O errors as [BindException]. */
public inline fun <T> bindOrThrow(start: () -> T): T = try {
    start()
} catch (e: IOException) {
    throw BindException(e.message).apply { initCause(e) }
}

/** Whether this error is a [BindException] or was caused by one. */
internal val Throwable.isBindFailure: Boolean
    get() = generateSequence(this) { it.cause }.any { it is BindException }
