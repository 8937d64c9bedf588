package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Limits on the concurrent use of the deployment by a tenant. */
@Serializable
public data class TenantQuota(
    val tenant: TenantName,
    /** Sum of the declared resources of the tenant's running batch tasks. */
    val batch: Resources,
    /** Requests in flight at each entry. */
    val requestsInFlight: Int,
)
