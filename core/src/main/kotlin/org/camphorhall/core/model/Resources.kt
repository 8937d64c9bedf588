package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** An amount of processors (thousandths of a core), memory (MiB) and whole accelerators. */
@Serializable
public data class Resources(
    val cpuMillis: Long = 0,
    val memoryMib: Long = 0,
    val accelerators: Int = 0,
) {
    public operator fun plus(other: Resources): Resources = Resources(
        cpuMillis + other.cpuMillis,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators,
    )

    public operator fun minus(other: Resources): Resources = Resources(
        cpuMillis - other.cpuMillis,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators,
    )

    public operator fun times(n: Int): Resources = Resources(cpuMillis * n, memoryMib * n, accelerators * n)

    /** Returns whether every component is at most that of [capacity]. */
    public infix fun fitsIn(capacity: Resources): Boolean = cpuMillis <= capacity.cpuMillis &&
        memoryMib <= capacity.memoryMib &&
        accelerators <= capacity.accelerators

    /** Returns the component-wise maximum. */
    public fun max(other: Resources): Resources = Resources(
        maxOf(cpuMillis, other.cpuMillis),
        maxOf(memoryMib, other.memoryMib),
        maxOf(accelerators, other.accelerators),
    )

    /** Returns the component-wise minimum. */
    public fun min(other: Resources): Resources = Resources(
        minOf(cpuMillis, other.cpuMillis),
        minOf(memoryMib, other.memoryMib),
        minOf(accelerators, other.accelerators),
    )

    /** Returns half of each component, rounded down. */
    public fun half(): Resources = Resources(cpuMillis / 2, memoryMib / 2, accelerators / 2)

    /** Returns whether no component is negative. */
    public fun isValid(): Boolean = cpuMillis >= 0 && memoryMib >= 0 && accelerators >= 0

    public companion object {
        public val None: Resources = Resources()
    }
}
