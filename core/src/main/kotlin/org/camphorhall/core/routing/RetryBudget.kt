package org.camphorhall.core.routing


/** Limits retries to a part of recent first tries, so that an overload is not multiplied by retries. */
public data class RetryBudget(
    val tokens: Double = INITIAL_TOKENS,
) {
    /** Notes one first try, which earns a part of a retry. */
    public fun firstTry(): RetryBudget = copy(tokens = minOf(MAX_TOKENS, tokens + RETRY_FRACTION))

    /** Returns the budget after one retry, or null when none is left. */
    public fun retry(): RetryBudget? = if (tokens >= 1) copy(tokens = tokens - 1) else null

    private companion object {
        /** Retries are at most 10 % of first tries. */
        const val RETRY_FRACTION = 0.1

        /** Retries allowed before any first try, so that an idle entry can retry. */
        const val INITIAL_TOKENS = 10.0
        const val MAX_TOKENS = 100.0
    }
}
