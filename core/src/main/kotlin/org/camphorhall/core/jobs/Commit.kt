package org.camphorhall.core.jobs

/** Progress records that are written together, each only if its stored revision is still the expected one. */
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
