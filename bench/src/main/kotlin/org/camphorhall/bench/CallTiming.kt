package org.camphorhall.bench

import com.sun.management.ThreadMXBean
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory

/** Wall-clock time and allocated bytes per call of one operation. */
internal class CallTiming(private val histogram: Histogram, val bytesPerCall: Double) {
    val p50Micros: Double get() = histogram.getValueAtPercentile(50.0) / NANOS_PER_MICRO
    val p99Micros: Double get() = histogram.getValueAtPercentile(99.0) / NANOS_PER_MICRO
    val p999Micros: Double get() = histogram.getValueAtPercentile(99.9) / NANOS_PER_MICRO

    private companion object {
        const val NANOS_PER_MICRO = 1_000.0
    }
}

/** Calls [action] with the call number, [warmup] times unmeasured and then [calls] times measured. */
internal fun measureCalls(warmup: Int, calls: Int, action: (Int) -> Any?): CallTiming {
    var sink = 0
    repeat(warmup) { sink += System.identityHashCode(action(it)) and 1 }
    val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    val before = threads.currentThreadAllocatedBytes
    val h = newHistogram()
    val histogramBytes = threads.currentThreadAllocatedBytes - before
    val start = threads.currentThreadAllocatedBytes
    repeat(calls) {
        val t = System.nanoTime()
        val result = action(warmup + it)
        h.recordValue(System.nanoTime() - t)
        sink += System.identityHashCode(result) and 1
    }
    val bytes = threads.currentThreadAllocatedBytes - start
    check(sink >= 0 && histogramBytes >= 0)
    return CallTiming(h, bytes.toDouble() / calls)
}

/** Creates a histogram with three significant digits. */
internal fun newHistogram(): Histogram = Histogram(3)
