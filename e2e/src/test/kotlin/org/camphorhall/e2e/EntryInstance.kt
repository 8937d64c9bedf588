package org.camphorhall.e2e

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import strikt.api.Assertion

/** An entry process, its [url] for callers and its [address] for agents. */
internal class EntryInstance(val process: LaunchedProcess, val url: String, val address: String) {
    val configVersion: Long get() = config().number("version")

    fun isReady(): Boolean = Http.call("GET", "$url/readyz").status == 200

    fun config() = Http.call("GET", "$url/v1/config").json

    fun workers() = Http.call("GET", "$url/v1/workers").json.list("workers")

    fun jobs() = Http.call("GET", "$url/v1/jobs").json.list("jobs")

    fun job(id: String): HttpResponse = Http.call("GET", "$url/v1/jobs/$id")

    /** Sets a class with [target] `answer-within` or `finish-by`; [ifMatch] is the expected version of the class. */
    fun setClass(
        name: String,
        target: String,
        millis: Long,
        idempotent: Boolean = true,
        ifMatch: Long? = null,
    ): HttpResponse {
        val body = """{"name":"$name","target":{"type":"$target","millis":$millis},"idempotent":$idempotent}"""
        val headers = ifMatch?.let { mapOf("If-Match" to "$it") }.orEmpty()
        return Http.call("PUT", "$url/v1/config/classes/$name", body, headers)
    }

    /** Sends a request whose body contains [id]. It runs for [millis], by default for the service time of the class. */
    suspend fun request(
        className: String,
        id: String,
        key: String? = null,
        millis: Long? = null,
        timeoutMillis: Long? = null,
    ): HttpResponse {
        val optional = mapOf("Idempotency-Key" to key, "X-Timeout-Ms" to timeoutMillis?.toString())
        val headers = mapOf("X-Request-Id" to id) + optional.mapNotNull { (k, v) -> v?.let { k to it } }
        return Http.send("POST", "$url/v1/classes/$className/requests", requestBody(id, millis), headers)
    }

    /** Submits a batch job. Each task runs for [runMillis] and then finishes, or fails if [fail] is set. */
    fun submit(runMillis: Long, tasks: Int = 1, cpuMillis: Long = 500, fail: Boolean = false): HttpResponse {
        val body = buildJsonObject {
            put("class", "plans")
            put("tenant", "north")
            put(
                "resources",
                buildJsonObject {
                    put("cpuMillis", cpuMillis)
                    put("memoryMib", 64)
                    put("accelerators", 0)
                },
            )
            put("expectedMillis", runMillis)
            put("payload", """{"runMillis":$runMillis,"fail":$fail,"result":"done"}""")
            put("tasks", tasks)
        }
        return Http.call("POST", "$url/v1/jobs", body.toString())
    }

    /** Waits until the job is done, failed or cancelled and returns its status. */
    fun awaitEnd(id: String): HttpResponse = awaitValue("job $id ends") {
        job(id).takeIf { it.status == 200 && it.json.text("state") in setOf("done", "failed", "cancelled") }
    }

    /** Waits until all tasks of the job are running or done. */
    fun awaitRunning(id: String) = awaitCondition("job $id runs") {
        val j = job(id)
        j.status == 200 && j.json.list("tasks").all { it.text("state") in setOf("running", "done") }
    }
}

/** Request body, which the sample backend server returns as its response. */
internal fun requestBody(id: String, millis: Long? = null): String = buildJsonObject {
    put("id", id)
    millis?.let { put("millis", it) }
}.toString()

/** Checks that the response to a job request reports [state]. */
internal fun Assertion.Builder<HttpResponse>.hasJobState(state: String) = assert("has state $state") {
    val got = if (it.status == 200 || it.status == 202) it.json.text("state") else "status ${it.status}"
    if (got == state) pass() else fail(it.text)
}
