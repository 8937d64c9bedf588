package org.camphorhall.scheduler.support

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** A value that the first caller makes with [create]. If that caller is cancelled, the next one makes it. */
internal class SharedValue<T : Any>(private val create: suspend () -> T) {
    private val lock = Mutex()
    private var value: T? = null

    suspend fun get(): T = lock.withLock { value ?: create().also { value = it } }
}
