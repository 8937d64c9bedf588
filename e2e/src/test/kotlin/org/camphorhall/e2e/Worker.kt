package org.camphorhall.e2e

/** A worker: its worker runtime, its agent and, if it serves requests, its backend server. */
internal class Worker(
    val id: String,
    val runtime: LaunchedProcess,
    val runtimeUrl: String,
    val agent: LaunchedProcess,
    val agentUrl: String,
    val backend: LaunchedProcess?,
) {
    private var historyAtKill: List<AttemptRun>? = null

    val runs: List<AttemptRun> get() = historyAtKill ?: readRunHistory(runtimeUrl)
    val violationCount: Long get() = Http.call("GET", "$runtimeUrl/debug/violations").json.number("count")
    val backendUrl: String by lazy { "http://127.0.0.1:${checkNotNull(backend).awaitListeningPort("port")}" }

    /** Number of runs on the backend server, by request id. */
    val requestRunCounts: Map<String, Long>
        get() = Http.call("GET", "$backendUrl/debug/runs").json.let { report ->
            val runs = report.getValue("runs") as kotlinx.serialization.json.JsonObject
            runs.keys.associateWith { runs.number(it) }
        }

    /** Injects faults into the worker runtime; an empty object ends them. */
    fun setRuntimeFaults(faults: String) {
        check(Http.call("PUT", "$runtimeUrl/faults", faults).status == 200)
    }

    /** Version of the configuration that the agent applies, from its metrics. */
    val configVersion: Long
        get() = Http.call("GET", "$agentUrl/metrics").text.lineSequence()
            .first { it.startsWith("camphorhall_config_version") }.substringAfterLast(' ').toDouble().toLong()

    fun isReady(): Boolean = Http.call("GET", "$agentUrl/readyz").status == 200

    /**
     * Kills all processes of the worker with SIGKILL. The run history is read after the agent is killed, when no run
     * can start any more, and before the worker runtime is killed.
     */
    fun kill() {
        agent.kill()
        backend?.kill()
        val history = readRunHistory(runtimeUrl)
        runtime.kill()
        val killedNanos = System.nanoTime()
        historyAtKill = history.map { if (it.endNanos == null) it.copy(endNanos = killedNanos, end = "lost") else it }
    }
}
