package org.camphorhall.core

import com.tngtech.archunit.core.domain.JavaClass.Predicates.equivalentTo
import com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage
import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import org.junit.jupiter.api.Test
import java.util.zip.CRC32

class ArchitectureTest {
    private val core: JavaClasses = ClassFileImporter()
        .withImportOption(ImportOption.DoNotIncludeTests())
        .importPackages("org.camphorhall.core")

    /** Guards against I/O, coroutines or logging in the state machines, which the fuzzer could not replay. */
    @Test
    fun `depends only on the language, collections and serialization`() {
        val packages = resideInAnyPackage(
            "org.camphorhall.core..",
            "java.lang",
            "java.lang.annotation",
            "java.lang.invoke",
            "java.util",
            "java.util.function",
            "kotlin",
            "kotlin.annotation",
            "kotlin.collections..",
            "kotlin.comparisons",
            "kotlin.enums",
            "kotlin.jvm..",
            "kotlin.math",
            "kotlin.random",
            "kotlin.ranges",
            "kotlin.reflect",
            "kotlin.sequences",
            "kotlin.text",
            "kotlin.time",
            "kotlinx.collections.immutable..",
            "kotlinx.serialization..",
            "arrow.core..",
            "org.jetbrains.annotations",
        )
        // The shard of an id is computed from a CRC-32 checksum.
        val allowed = packages.or(equivalentTo(CRC32::class.java))
        classes().should().onlyDependOnClassesThat(allowed).check(core)
    }

    /** Guards against a decision that differs between two runs of the same events. */
    @Test
    fun `reads no clock and no global randomness`() {
        val clocksAndRandomness = listOf(
            "kotlin.random.Random\$Default",
            "kotlin.time.Clock\$System",
            "kotlin.time.TimeSource\$Monotonic",
            "kotlin.time.MeasureTimeKt",
            "java.util.Random",
            "java.util.UUID",
            "java.util.Date",
        )
        for (name in clocksAndRandomness) {
            noClasses().should().dependOnClassesThat().haveFullyQualifiedName(name).check(core)
        }
        noClasses().should().callMethod(System::class.java, "nanoTime")
            .orShould().callMethod(System::class.java, "currentTimeMillis")
            .orShould().callMethod(Math::class.java, "random")
            .check(core)
    }
}
