package org.camphorhall.dev.backend

import io.ktor.http.HttpMethod
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.camphorhall.core.model.Resources
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.FaultInjector
import org.camphorhall.dev.http.TestServer
import org.camphorhall.dev.http.bodyText
import org.camphorhall.dev.load.LoadResult
import org.camphorhall.dev.load.LoadRun
import org.camphorhall.dev.load.RateStep
import org.camphorhall.dev.load.RequestSender
import org.camphorhall.dev.load.Schedule
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.startsWith
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against measurements that miss a request, its latency or a response that does not match it. */
internal class BackendServiceTest {
    private val service = BackendService(slots = 2, serviceTimes = mapOf("short" to 20.milliseconds))
    private val server = runBlocking {
        TestServer.start("127.0.0.1", 0, service.faults) { service.defineEndpoints(this) }
    }

    private fun load(
        perSecond: Double,
        duration: Duration,
        body: String = "{id}",
        url: String = "http://127.0.0.1:${server.port}",
    ): LoadResult {
        val options = RequestSender.Options(
            "t",
            body,
            "r",
            10.seconds,
            withIdempotencyKey = false,
            verifyBody = true,
            maxInFlight = 100,
        )
        val steps = listOf(RateStep(perSecond, duration))
        val schedule = Schedule(steps, Schedule.Arrivals.Uniform, mapOf("short" to 1.0), Random(1))
        return runBlocking { LoadRun(listOf(url), schedule, RequestSender(options), 100, Duration.ZERO).run(1) }
    }

    @AfterEach
    fun stop() = server.stop()

    @Test
    fun `every request runs once within the slots and its latency includes the wait for a slot`() {
        val result = load(perSecond = 10_000.0, duration = 2.milliseconds)
        expectThat(result.classes.getValue("short").outcomes).isEqualTo(mapOf("completed" to 20))
        val report = service.counts.report()
        expectThat(report.total).isEqualTo(20)
        expectThat(report.runs).isEqualTo((1..20).associate { "r-$it" to 1 })
        expectThat(report.repeated).isEmpty()
        expectThat(report.maxRunning).isEqualTo(2)
        expectThat(report.maxWaiting).isGreaterThan(0)
        // Twenty requests of 20 ms in two slots take 200 ms; the last one waits for all others.
        expectThat(result.classes.getValue("short").latencyMillis).isNotNull().get { max }.isGreaterThanOrEqualTo(190.0)
    }

    @Test
    fun `the service time in a body overrides that of the class`() {
        val result = load(perSecond = 1_000.0, duration = 1.milliseconds, body = """{"millis":100}""")
        expectThat(result.classes.getValue("short").latencyMillis).isNotNull().get { max }.isGreaterThanOrEqualTo(100.0)
        expectThat(BufferedResponse.format.encodeToString(result)).startsWith("{\"seed\":1,")
        expectThat(result.table()).startsWith("sent 1 in ")
    }

    @Test
    fun `a mismatched response and a rejection are not counted as completed`() {
        val other = runBlocking {
            TestServer.start("127.0.0.1", 0, FaultInjector()) {
                endpoint(HttpMethod.Post, "/v1/classes/{class}/requests") { call ->
                    val problem = """{"outcome":"not-run","reason":"queue-full"}"""
                    if (call.bodyText() == "r-1") {
                        BufferedResponse(429, problem.encodeToByteArray())
                    } else {
                        BufferedResponse()
                    }
                }
            }
        }
        try {
            val result = load(1_000.0, 2.milliseconds, url = "http://127.0.0.1:${other.port}")
            expectThat(result.classes.getValue("short").outcomes)
                .isEqualTo(mapOf("mismatched-answer" to 1, "not-run/queue-full" to 1))
        } finally {
            other.stop()
        }
    }

    @Test
    fun `a backend server sends announcements and a leave notice`(): Unit = runBlocking {
        val received = Channel<String>(Channel.UNLIMITED)
        val agent = TestServer.start("127.0.0.1", 0, FaultInjector()) {
            for (method in listOf(HttpMethod.Put, HttpMethod.Delete)) {
                endpoint(method, "/v1/backends/{id}") { call ->
                    received.send("${method.value} ${call.parameters["id"]} ${call.bodyText()}")
                    BufferedResponse()
                }
            }
        }
        val announcer = Announcer("http://127.0.0.1:${agent.port}", "b-1")
        val announcement =
            Announcer.Announcement(listOf("short"), "http://b", 8, 64, Resources(1, 2, 3), 5_000, 2, leaving = false)
        val announcing = launch { announcer.announce { announcement } }
        val body = """{"classes":["short"],"url":"http://b","slots":8,"connections":64,""" +
            """"perRequest":{"cpuMillis":1,"memoryMib":2,"accelerators":3},"ttlMillis":5000,""" +
            """"running":2,"leaving":false}"""
        withTimeout(30.seconds) {
            repeat(2) { expectThat(received.receive()).isEqualTo("PUT b-1 $body") }
            announcing.cancelAndJoin()
            announcer.sendLeaveNotice()
            expectThat(received.receive()).isEqualTo("DELETE b-1 ")
        }
        agent.stop()
    }
}
