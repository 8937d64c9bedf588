package org.camphorhall.e2e

/** An instance with its worker runtime, its agent and, where a test needs one, a backend server. */
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

    /** How often each request id ran on the backend server. */
    val requestRunCounts: Map<String, Long>
        get() = Http.call("GET", "$backendUrl/debug/runs").json.let { report ->
            val runs = report.getValue("runs") as kotlinx.serialization.json.JsonObject
            runs.keys.associateWith { runs.number(it) }
        }

    /** Sets the faults of the worker runtime. */
    fun setRuntimeFaults(faults: String) {
        check(Http.call("PUT", "$runtimeUrl/faults", faults).status == 200)
    }

    /** The version of the configuration that the agent has. */
    val configVersion: Long
        get() = Http.call("GET", "$agentUrl/metrics").text.lineSequence()
            .first { it.startsWith("camphorhall_config_version") }.substringAfterLast(' ').toDouble().toLong()

    fun isReady(): Boolean = Http.call("GET", "$agentUrl/readyz").status == 200

    /** Ends the whole instance with SIGKILL. Its history is read in between, when nothing can start any more. */
    fun kill() {
        agent.kill()
        backend?.kill()
        val history = readRunHistory(runtimeUrl)
        runtime.kill()
        val killedNanos = System.nanoTime()
        historyAtKill = history.map { if (it.endNanos == null) it.copy(endNanos = killedNanos, end = "lost") else it }
    }
}
