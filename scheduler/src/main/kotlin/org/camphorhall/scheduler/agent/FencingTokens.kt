package org.camphorhall.scheduler.agent

import java.util.concurrent.atomic.AtomicLong

/**
 * The fencing tokens of one agent process, from [first] on. They are reserved in the store once, so that the link to
 * the next incarnation of the worker does not depend on the store.
 */
internal class FencingTokens(first: Long) {
    private val last = AtomicLong(first - 1)

    /** Returns a token that is greater by [step] than the one returned before. */
    fun next(step: Long = 1): Long = last.addAndGet(step)
}
