package org.camphorhall.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

internal class ImageDisturbanceTest {
    private val calm = mapOf("calm" to 0.1)
    private val heavy = mapOf("heavy" to 0.1)

    /** Guards against images whose effect is lost in the swings of the serving tasks' own load. */
    @Test
    fun `tells the images that disturb while the load of serving tasks swings`() {
        val learned = ImageDisturbance()
        val random = Random(7)
        var before: SharedFigure? = null
        for (n in 0 until FIGURES) {
            // Tasks of 10 % of the worker come and go; those of one image disturb ten times more.
            val use = mapOf("calm" to random.nextInt(3) * 0.1, "heavy" to random.nextInt(3) * 0.1)
            val own = 0.45 + 0.15 * sin(2 * PI * n / SWING)
            val pressure = own + 0.3 * use.getValue("calm") + 3.0 * use.getValue("heavy")
            val after = SharedFigure(pressure, use, emptySet())
            before?.let { learned.learn(it, after) }
            before = after
        }
        expectThat(learned.of(calm)).isLessThan(ImageDisturbance.TOLERATED / 2)
        expectThat(learned.of(heavy)).isGreaterThan(ImageDisturbance.TOLERATED)
    }

    /** Guards against an image that is never tried beside serving tasks, or tried with many tasks at once. */
    @Test
    fun `tolerates one task of an unknown image`() {
        val learned = ImageDisturbance()
        expectThat(learned.of(calm)).isLessThan(ImageDisturbance.TOLERATED)
        expectThat(learned.of(calm + heavy)).isGreaterThan(ImageDisturbance.TOLERATED)
    }

    private companion object {
        const val FIGURES = 60

        /** Figures in one swing of the load. */
        const val SWING = 25
    }
}
