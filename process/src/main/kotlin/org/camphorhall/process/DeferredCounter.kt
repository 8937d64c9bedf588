package org.camphorhall.process

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.LongAdder

/** Counter with one label; see [Metrics.deferredCounter]. */
public class DeferredCounter internal constructor(
    private val name: String,
    private val help: String,
    private val label: String,
) {
    private val counts = ConcurrentHashMap<String, LongAdder>()
    private val isRegistered = AtomicBoolean()

    /** Adds one to the count of [labelValue]. */
    public fun increment(labelValue: String): Unit = counts.computeIfAbsent(labelValue) { LongAdder() }.increment()

    internal fun registerOnce(registry: PrometheusRegistry) {
        if (!isRegistered.compareAndSet(false, true)) return
        CounterWithCallback.builder().name(name).help(help).labelNames(label)
            .callback { c -> counts.forEach { (value, count) -> c.call(count.sum().toDouble(), value) } }
            .register(registry)
    }
}
