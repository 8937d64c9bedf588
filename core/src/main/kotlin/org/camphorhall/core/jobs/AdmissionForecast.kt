package org.camphorhall.core.jobs

/** Whether a new job can end while its result is useful. */
public sealed interface AdmissionForecast {
    /** The job can be useful, or nothing shows that it cannot. */
    public data object Useful : AdmissionForecast

    /** The accepted work that comes before the job leaves no room for it before [expectedEndMillis] from now. */
    public data class TooLate(val expectedEndMillis: Long, val usefulMillis: Long) : AdmissionForecast {
        /** Time from now at which the job would find room if nothing else were accepted. */
        val roomAfterMillis: Long get() = expectedEndMillis - usefulMillis
    }
}
