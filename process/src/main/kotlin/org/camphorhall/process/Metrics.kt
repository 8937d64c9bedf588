package org.camphorhall.process

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.util.concurrent.CopyOnWriteArrayList

/** Metrics of one process, each registered when it is created, or when the metrics are first read. */
public class Metrics {
    private val deferred = CopyOnWriteArrayList<DeferredCounter>()
    private val writer by lazy { PrometheusTextFormatWriter.create() }
    private val registry by lazy { PrometheusRegistry() }

    /** Registers a counter; the exposition appends `_total` to [name]. */
    public fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    /**
     * Returns a counter with one [label] that is registered when the metrics are first read, so that a process which
     * counts from its start does not load the metrics library then.
     */
    public fun deferredCounter(name: String, help: String, label: String): DeferredCounter =
        DeferredCounter(name, help, label).also { deferred += it }

    /** Registers a gauge with the given [labels]. */
    public fun gauge(name: String, help: String, vararg labels: String): Gauge =
        Gauge.builder().name(name).help(help).labelNames(*labels).register(registry)

    /** Registers a histogram of seconds with fixed buckets from 1 ms to 60 s. */
    // The spread operator copies the arrays only once per metric.
    @Suppress("SpreadOperator")
    public fun histogram(name: String, help: String, vararg labels: String): Histogram =
        Histogram.builder().name(name).help(help).labelNames(*labels).classicOnly()
            .classicUpperBounds(*SECONDS_BUCKETS).register(registry)

    /** Returns all metrics in the Prometheus text format. */
    public fun text(): String {
        deferred.forEach { it.registerOnce(registry) }
        return ByteArrayOutputStream().also { writer.write(it, registry.scrape()) }.toString(Charsets.UTF_8)
    }

    public companion object {
        /** Media type of [text]. */
        public const val CONTENT_TYPE: String = PrometheusTextFormatWriter.CONTENT_TYPE

        private val SECONDS_BUCKETS = doubleArrayOf(
            0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
        )
    }
}
