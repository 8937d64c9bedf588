package org.camphorhall.entry.request

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TenantName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Limits the number of requests in flight at this entry, in total and per tenant. */
internal class InFlightLimits(private val max: Int) {
    private val total = AtomicInteger()
    private val byTenant = ConcurrentHashMap<TenantName, AtomicInteger>()

    val inFlight: Int get() = total.get()

    /** Counts a request as in flight, or returns the reason for its rejection when a limit is reached. */
    fun acquire(tenant: TenantName, tenantMax: Int): Reason? {
        if (total.incrementAndGet() > max) {
            total.decrementAndGet()
            return Reason.EntryOverloaded
        }
        val tenantCount = byTenant.compute(tenant) { _, n -> (n ?: AtomicInteger()).apply { incrementAndGet() } }
        if (checkNotNull(tenantCount).get() <= tenantMax) return null
        release(tenant)
        return Reason.QuotaExceeded
    }

    /** Ends a request that [acquire] admitted. */
    fun release(tenant: TenantName) {
        total.decrementAndGet()
        byTenant.computeIfPresent(tenant) { _, n -> if (n.decrementAndGet() <= 0) null else n }
    }
}
