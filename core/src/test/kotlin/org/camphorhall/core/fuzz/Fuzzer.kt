package org.camphorhall.core.fuzz

/** Result of running one trace: the first failure, or null, and the number of steps run. */
internal class TraceResult(val failure: Throwable?, val steps: Int, val cluster: SimulatedCluster) {
    val rule get() = (failure as? Violation)?.rule ?: failure?.let { "exception ${it.javaClass.simpleName}" }
    val guarantee get() = rule?.substringBefore(' ')
}

/** Runs [trace] in a new cluster whose fixed properties, such as clock rates, come from [seed]. */
internal fun runTrace(seed: Long, trace: List<Step>, fault: InjectedFault? = null): TraceResult {
    val cluster = SimulatedCluster(seed, fault)
    var done = 0
    return try {
        for (step in trace) {
            done++
            cluster.run(step)
        }
        cluster.finish()
        TraceResult(null, done, cluster)
    } catch (e: AssertionError) {
        TraceResult(e, done, cluster)
    } catch (e: RuntimeException) {
        TraceResult(e, done, cluster)
    }
}

/** Removes steps from [trace] while the same rule is still violated, with at most [maxRuns] runs. */
internal fun shrink(seed: Long, trace: List<Step>, fault: InjectedFault? = null, maxRuns: Int = 600): List<Step> {
    val rule = runTrace(seed, trace, fault).rule
    var best = trace
    var remainingRuns = maxRuns
    var size = best.size / 2
    while (size > 0 && remainingRuns > 0) {
        var at = 0
        while (at < best.size && remainingRuns-- > 0) {
            val shorter = best.take(at) + best.drop(at + size)
            if (runTrace(seed, shorter, fault).rule == rule) best = shorter else at += size
        }
        size /= 2
    }
    return best
}

/** A violated guarantee, with the seed of its episode and the number of steps run until then. */
internal class Finding(val seed: Long, val steps: Long, val trace: List<Step>, val result: TraceResult) {
    fun report(fault: InjectedFault?): String {
        val shortened = shrink(seed, trace.take(result.steps), fault)
        val rerun = runTrace(seed, shortened, fault)
        return "seed $seed, step $steps: ${result.failure}\nshrunk to ${shortened.size} steps: ${rerun.failure}\n" +
            "${rerun.cluster.describe()}\n" +
            shortened.joinToString("\n") { "  Step(StepKind.${it.kind}, ${it.seed})," }
    }
}

internal const val STEPS_PER_EPISODE = 300

/** Runs episodes from [seed] until [steps] steps are done or a guarantee that [accepts] selects is violated. */
internal fun fuzz(
    seed: Long,
    steps: Long,
    fault: InjectedFault? = null,
    accepts: (String) -> Boolean = { true },
    onResult: (TraceResult) -> Unit = {},
): Finding? {
    var done = 0L
    var episodeSeed = seed
    while (done < steps) {
        val trace = traceOf(episodeSeed, STEPS_PER_EPISODE)
        val result = runTrace(episodeSeed, trace, fault)
        onResult(result)
        done += result.steps
        if (result.guarantee?.let(accepts) == true) return Finding(episodeSeed, done, trace, result)
        episodeSeed++
    }
    return null
}
