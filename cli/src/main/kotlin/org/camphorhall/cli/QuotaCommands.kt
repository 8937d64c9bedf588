package org.camphorhall.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.ktor.http.HttpMethod
import kotlinx.serialization.builtins.ListSerializer
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.model.TenantQuota

internal class QuotaSet : ConfigItemCommand("set", "Create or change the quota of a tenant.") {
    private val tenant by argument("TENANT").nonBlankName()
    private val cpu by option("--cpu", help = "Limit on the cores of all running batch tasks").cpuMillis().required()
    private val memory by option("--memory", help = "Limit on the memory of all running batch tasks").mib().required()
    private val accelerators by option("--accelerators", help = "Limit on the accelerators of all running batch tasks")
        .int().restrictTo(min = 0).default(0)
    private val requests by option("--requests", help = "Limit on the requests in flight at one entry")
        .int().restrictTo(min = 0).required()

    override suspend fun execute(entry: EntryClient) {
        val item = TenantQuota(TenantName(tenant), Resources(cpu, memory, accelerators), requests)
        val body = jsonWithDefaults.encodeToString(TenantQuota.serializer(), item)
        entry.change(HttpMethod.Put, quotaPath(tenant), body)
    }
}

internal class QuotaShow : EntryCommand("show", "Show the quota of a tenant.") {
    private val tenant by argument("TENANT").nonBlankName()

    override suspend fun execute(entry: EntryClient) {
        val found = decode(ConfigView.serializer(), entry.fetchJson("/v1/config")).quotas
            .filter { it.value.tenant.value == tenant }
        if (found.isEmpty()) exitWith(CliExitCode.NotFound, "no quota for tenant \"$tenant\"")
        val tree = jsonWithDefaults.encodeToJsonElement(ConfigItem.serializer(), found.single())
        printResult(tree) { printQuotas(found) }
    }
}

internal class QuotaList : EntryCommand("list", "List the quotas.") {
    override suspend fun execute(entry: EntryClient) {
        val quotas = decode(ConfigView.serializer(), entry.fetchJson("/v1/config")).quotas
        val tree = jsonWithDefaults.encodeToJsonElement(ListSerializer(ConfigItem.serializer()), quotas)
        printResult(tree) { printQuotas(quotas) }
    }
}

internal class QuotaRemove : ConfigItemCommand("remove", "Remove the quota of a tenant.") {
    private val tenant by argument("TENANT").nonBlankName()

    override suspend fun execute(entry: EntryClient): Unit = entry.change(HttpMethod.Delete, quotaPath(tenant))
}

internal fun describe(r: Resources): String =
    "${r.cpuMillis.toBigDecimal().movePointLeft(3).stripTrailingZeros().toPlainString()} cores, " +
        "${r.memoryMib} MiB, ${r.accelerators} accelerators"

private fun EntryCommand.printQuotas(quotas: List<ConfigItem.OfQuota>) = printTable(
    listOf("TENANT", "BATCH", "REQUESTS", "VERSION"),
    quotas.map { listOf(it.value.tenant, describe(it.value.batch), it.value.requestsInFlight, it.version) },
)

private fun quotaPath(tenant: String) = "/v1/config/quotas/${encodePathSegment(tenant)}"
