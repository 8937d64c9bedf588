package org.camphorhall.e2e

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Sends requests from [n] concurrent callers until [stop]. [send] receives the sequence number of the request. */
internal class LoadGenerator(n: Int, private val send: suspend (Int) -> HttpResponse) {
    private val isStopping = AtomicBoolean()
    private val nextNumber = AtomicInteger()
    private val responses = ConcurrentLinkedQueue<HttpResponse>()
    private val callers = thread(isDaemon = true) {
        inParallel(n) { while (!isStopping.get()) responses += send(nextNumber.getAndIncrement()) }
    }

    /** Stops sending, waits for in-flight requests and returns all responses. */
    fun stop(): List<HttpResponse> {
        isStopping.set(true)
        callers.join()
        return responses.toList()
    }
}

/** Runs [action] concurrently for each number from 0 until [n] and returns the results in order. */
internal fun <T> inParallel(n: Int, action: suspend (Int) -> T): List<T> = runBlocking(Dispatchers.IO) {
    List(n) { async { action(it) } }.awaitAll()
}
