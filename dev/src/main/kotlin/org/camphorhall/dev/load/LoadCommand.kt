package org.camphorhall.dev.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.runBlocking
import org.camphorhall.dev.http.BufferedResponse
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends an open-loop load to entries and prints the outcomes and latencies. */
internal class LoadCommand : CliktCommand("load") {
    private val entries by option("--entry", help = "URL of an entry; may be repeated").multiple(required = true)
    private val rate by option(help = "requests per second").double().default(10.0)
    private val duration by option(help = "duration of the run, such as 10s")
        .convert { Duration.parseOrNull(it) ?: fail("\"$it\" is not a duration") }
        .default(10.seconds)
    private val steps by option(help = "rates and durations such as 20x5s,60x5s; replaces --rate and --duration")
        .convert { text -> runCatching { RateStep.parse(text) }.getOrElse { fail(it.message.orEmpty()) } }
    private val warmup by option(help = "warm-up at the first rate, excluded from the result, such as 5s")
        .convert { Duration.parseOrNull(it) ?: fail("\"$it\" is not a duration") }
        .default(Duration.ZERO)
    private val classes by option("--class", help = "class, or class=weight; may be repeated").multiple(required = true)
    private val tenant by option(help = "tenant that sends the requests").default("default")
    private val body by option(help = "body of each request; {id} stands for the request id").default("{\"millis\":5}")
    private val timeoutMillis by option(help = "timeout of a request, in ms").long().default(10_000)
    private val seed by option(help = "seed of the send times and classes").long().default(1)
    private val idPrefix by option(help = "prefix of the request ids; random by default")
    private val keyed by option(help = "send an idempotency key with each request").flag()
    private val verify by option(help = "count responses whose body differs from the request's").flag()
    private val arrivals by option(help = "distribution of the arrival times")
        .choice("poisson" to Schedule.Arrivals.Poisson, "uniform" to Schedule.Arrivals.Uniform)
        .default(Schedule.Arrivals.Poisson)
    private val maxInFlight by option(help = "limit on requests in flight").int().default(4_096)
    private val output by option(help = "format of the result").choice("table", "json").default("table")

    override fun help(context: Context): String =
        "Sends requests at a given rate regardless of responses and measures latency from the intended send times."

    override fun run() {
        val measured = steps ?: listOf(RateStep(rate, duration))
        val first =
            if (warmup > Duration.ZERO) listOf(RateStep(measured.first().requestsPerSecond, warmup)) else emptyList()
        val schedule = Schedule(first + measured, arrivals, classes.associate(::weight), Random(seed))
        val prefix = idPrefix ?: "load-%08x".format(Random.Default.nextInt())
        val options =
            RequestSender.Options(tenant, body, prefix, timeoutMillis.milliseconds, keyed, verify, maxInFlight)
        val result = runBlocking { LoadRun(entries, schedule, RequestSender(options), maxInFlight, warmup).run(seed) }
        if (output == "json") echo(BufferedResponse.format.encodeToString(result)) else echo(result.table(), false)
    }

    private fun weight(text: String): Pair<String, Double> {
        val weight = if ('=' in text) text.substringAfter('=').toDoubleOrNull() else 1.0
        if (weight == null || weight <= 0) throw UsageError("\"$text\" is not of the form class=weight")
        return text.substringBefore('=') to weight
    }
}
