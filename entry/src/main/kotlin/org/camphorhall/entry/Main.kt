package org.camphorhall.entry

import org.camphorhall.process.program
import org.camphorhall.process.runProgram

/** Runs the entry program. */
public fun main(args: Array<String>) {
    val sample = checkNotNull(EntryOptions::class.java.getResource("/entry.sample.json")).readText()
    runProgram(program("camphorhall-entry", EntryOptions.serializer(), sample, ::checkOptions, serve = ::serve), args)
}
