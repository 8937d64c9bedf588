package org.camphorhall.core.jobs

/**
 * Failure domains that the operators evacuate: their workers get no new tasks. What runs there goes on.
 *
 * Load pattern: a whole failure domain is taken out of use while tasks wait, are being assigned and are being started.
 * A start leaves the owner only while the state is known to be recent, because an owner that cannot read it may have
 * missed an evacuation. The lease of a worker limits how long a start may be under way: without one, an agent sends
 * none.
 *
 * [maxAgeMillis] is the greatest age of the state that allows starts; null if the platform has no evacuations.
 */
internal class Evacuations(private val maxAgeMillis: Long?) {
    var domains: Set<String> = emptySet()
        private set

    /** Time at which the state was known to be current; null before the first read. */
    private var currentAt: Long? = null

    /** Replaces the evacuated [domains], which were current at [currentAt]. */
    fun update(domains: Set<String>, currentAt: Long) {
        this.domains = domains
        this.currentAt = currentAt
    }

    /** Whether the state is recent enough at [now] to start tasks anywhere. */
    fun isCurrent(now: Long): Boolean = maxAgeMillis == null || currentAt?.let { now - it <= maxAgeMillis } ?: false

    /** Whether a task may start on [w] at [now]. */
    fun allowStart(w: TrackedWorker, now: Long): Boolean = isCurrent(now) && w.profile.failureDomain !in domains
}
