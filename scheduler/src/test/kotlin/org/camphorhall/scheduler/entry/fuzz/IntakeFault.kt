package org.camphorhall.scheduler.entry.fuzz

/** A guard that the store leaves out, one per run, to test that the fuzzer detects its absence. */
internal enum class IntakeFault {
    /** Creations do not depend on the fence. */
    CreationsIgnoreFence,

    /** Records are deleted without a new fence. */
    CleanupKeepsFence,

    /** A refusal reads that the job is absent, and writes nothing. */
    RefusalsOnlyRead,

    /** Cancellations do not depend on the record of their job. */
    CancellationsIgnoreRecord,

    /** Deletions do not depend on the records that were to be deleted. */
    DeletionsIgnoreRecord,
}
