package org.camphorhall.core.jobs

/** Progress records to write in one transaction, which is conditional on the expected revision of each record. */
public class Commit internal constructor(
    public val writes: List<Write>,
    internal val outgoing: List<Outgoing>,
) {
    /**
     * One record; [expectedRevision] is 0 for a record that does not exist yet. Such a write is also conditional on the
     * job's own record having [recordRevision], unless that is 0: a late notification may name a job that has ended and
     * was deleted since.
     */
    public class Write(
        public val job: String,
        public val record: ProgressRecord,
        public val expectedRevision: Long,
        public val recordRevision: Long = 0,
    ) {
        /** Whether the job's own record is a condition. */
        public val isNew: Boolean get() = expectedRevision == 0L && recordRevision > 0
    }
}
