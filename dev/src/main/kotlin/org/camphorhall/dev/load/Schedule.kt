package org.camphorhall.dev.load

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Send times of an open-loop load, which depend on the rate of each step and not on responses. */
internal class Schedule(
    private val steps: List<RateStep>,
    private val arrivals: Arrivals,
    private val classes: Map<String, Double>,
    private val random: Random,
) {
    enum class Arrivals { Poisson, Uniform }

    /** A request. [number] counts from 1; [sendTime] is the intended send time since the start of the run. */
    class ScheduledRequest(val number: Long, val sendTime: Duration, val className: String)

    /** Returns the requests ordered by send time. */
    fun requests(): Sequence<ScheduledRequest> = sequence {
        var number = 0L
        var begin = Duration.ZERO
        for (step in steps) {
            for (offset in offsets(step)) yield(ScheduledRequest(++number, begin + offset, pickClass()))
            begin += step.duration
        }
    }

    private fun offsets(step: RateStep): Sequence<Duration> {
        val offsets = when (arrivals) {
            Arrivals.Uniform -> generateSequence(0L) { it + 1 }.map { (it / step.requestsPerSecond).seconds }
            Arrivals.Poisson -> generateSequence(exponentialInterval(step)) { it + exponentialInterval(step) }
        }
        return offsets.takeWhile { it < step.duration }
    }

    private fun exponentialInterval(step: RateStep): Duration =
        (-ln(1 - random.nextDouble()) / step.requestsPerSecond).seconds

    private fun pickClass(): String {
        var point = random.nextDouble() * classes.values.sum()
        for ((name, weight) in classes) {
            point -= weight
            if (point < 0) return name
        }
        return classes.keys.last()
    }
}
