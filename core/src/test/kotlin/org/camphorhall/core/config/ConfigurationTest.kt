package org.camphorhall.core.config

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Target
import org.camphorhall.core.model.WorkClass
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class ConfigurationTest {
    private fun item(millis: Long) =
        ConfigItem.OfClass(WorkClass(ClassName("quotes"), Target.AnswerWithin(millis)), 0)

    private val version3 = Configuration().change(item(1)).change(item(2)).change(item(3))

    /** Guards against a late push that reverts the configuration, and against a push that leaves a gap. */
    @ParameterizedTest
    @CsvSource("0,0,3", "3,0,3", "3,1,3", "2,0,3", "5,4,3", "4,3,4", "4,0,4")
    fun `applies only newer updates without a gap`(version: Long, since: Long, expected: Long) {
        expectThat(version3.apply(ConfigUpdate(version, since, emptyList())).version).isEqualTo(expected)
    }

    /** Guards against a removed item that stays in force on a process that receives only the changes. */
    @Test
    fun `sends removals to a process that has the item`() {
        val removed = version3.change(ConfigItem.Removed(ConfigItem.classKey("quotes"), 0))
        val updated = version3.apply(removed.updateSince(version3.version))
        expectThat(updated.workClass(ClassName("quotes"))).isEqualTo(null)
        expectThat(updated.version).isEqualTo(4)
    }

    /** Guards against a removed item that stays in force on a process because its removal was dropped. */
    @Test
    fun `sends the complete configuration to a process that missed dropped removals`() {
        val many = (1..600).fold(version3) { c, n ->
            c.change(ConfigItem.Removed(ConfigItem.classKey(if (n == 1) "quotes" else "c$n"), 0))
        }
        expectThat(many.items.size).isLessThan(600)
        expectThat(version3.apply(many.updateSince(version3.version)).workClass(ClassName("quotes"))).isEqualTo(null)
    }
}
