package org.camphorhall.core.jobs

/** Progress records to write in one transaction, which is conditional on the expected revision of each record. */
public class Commit internal constructor(
    public val writes: List<Write>,
    internal val outgoing: List<Outgoing>,
) {
    /** One record; [expectedRevision] is 0 for a record that does not exist yet. */
    public class Write(
        public val job: String,
        public val record: ProgressRecord,
        public val expectedRevision: Long,
    )
}
