package org.camphorhall.core.routing


/** Limits retries to a fraction of the first tries, so that retries do not amplify an overload. */
public data class RetryBudget(
    val tokens: Double = INITIAL_TOKENS,
) {
    /** Records a first try, which adds [RETRY_FRACTION] tokens. */
    public fun firstTry(): RetryBudget = copy(tokens = minOf(MAX_TOKENS, tokens + RETRY_FRACTION))

    /** Returns the budget after one retry, or null when less than one token remains. */
    public fun retry(): RetryBudget? = if (tokens >= 1) copy(tokens = tokens - 1) else null

    private companion object {
        /** Retries per first try: at most 10 %. */
        const val RETRY_FRACTION = 0.1

        /** Retries that are allowed before any first try, so that an idle entry can retry. */
        const val INITIAL_TOKENS = 10.0
        const val MAX_TOKENS = 100.0
    }
}
