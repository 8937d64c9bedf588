package org.camphorhall.scheduler.entry

import org.camphorhall.core.jobs.AdmissionForecast
import org.camphorhall.core.jobs.DueWork
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.ShardLoad
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.Clock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import kotlin.random.Random

/** Tests when an entry turns jobs away, and for how long. */
internal class OverloadViewTest {
    private class FakeClock : Clock {
        var now = 10_000L

        override fun steady() = now

        override fun wall() = now
    }

    private fun record(service: String = "service") = JobRecord(
        "00000000000000aa",
        JobSpec("", listOf(StepSpec(1, Resources(1_000, 100), estimateMillis = 1_000))),
        JobClass("class", service, 0, 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )

    private val overloaded = listOf(ShardLoad("service", 10_000, 10_000, listOf(DueWork(0, false, 1_000, 1e6))))

    private class Case(val loads: List<ShardLoad>?, val ageMillis: Long, val isUseful: Boolean, val job: JobRecord)

    private val cases = mapOf(
        "never told" to Case(null, 0, true, record()),
        "told of an overload" to Case(overloaded, 0, false, record()),
        "told of it a second ago" to Case(overloaded, 1_000, false, record()),
        "told of it earlier, since the owner is cut off or replaced" to Case(overloaded, 1_001, true, record()),
        "told that it is over" to Case(emptyList(), 0, true, record()),
        "told of one of another service" to Case(overloaded, 0, true, record("other")),
    )

    /** Guards against an entry that turns jobs away by a load that is not true any more. */
    @Test
    fun `only a recent load of the job's own service turns it away`() {
        for ((name, case) in cases) {
            val clock = FakeClock()
            val view = OverloadView(clock, shards = 1)
            case.loads?.let { view.update(0, it) }
            clock.now += case.ageMillis
            expectThat(view.forecast(case.job) is AdmissionForecast.Useful).describedAs(name).isEqualTo(case.isUseful)
        }
    }

    /** Guards against callers who return together, too early, or sooner the more often they were turned away. */
    @Test
    fun `callers return when room is expected, spread and later with each refusal`() {
        val retryAfter = RetryAfter(Random(1))
        val first = List(200) { retryAfter.seconds("job-$it", roomAfterMillis = 10_000) }
        expectThat(first.min()).isIn(10..11)
        expectThat(first.max()).isIn(14..15)
        repeat(9) { retryAfter.seconds("job-0", 10_000) }
        expectThat(retryAfter.seconds("job-0", 10_000)).isGreaterThan(30)
        expectThat(retryAfter.seconds("job-0", Long.MAX_VALUE / 2)).isEqualTo(60)
        expectThat(retryAfter.seconds("job-new", 1)).isEqualTo(1)
    }

    private val responses = mapOf(
        """{"type":"noted"}""" to 0,
        """{"type":"noted","loads":[]}""" to 0,
        """{"type":"noted","loads":[{"service":"s","reservable":1,"backfill":2,"work":[]}]}""" to 1,
    )

    /** Guards against an entry that cannot read the response of an owner of another build. */
    @Test
    fun `responses with and without loads are read`() {
        for ((text, loads) in responses) {
            val response = documentJson.decodeFromString(OwnerResponse.serializer(), text)
            expectThat(response).describedAs(text).isA<OwnerResponse.Acknowledged>()
                .get { this.loads.size }.isEqualTo(loads)
        }
    }
}
