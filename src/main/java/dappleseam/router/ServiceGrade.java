package dappleseam.router;

/**
 * Service level of one kind of query. Past the SLO time and up to the statement timeout, an answer is worth {@code tardyShare} of the
 * importance. Nodes deduplicate a repeated query for {@code dedupWindowMs}.
 */
public record ServiceGrade(Semantics semantics, DedupScope dedupScope, double dedupWindowMs, double sloMs,
                           double timeoutMs, double importance, double tardyShare, boolean stream) {
    /** Whether a query may be executed more than once. */
    public enum Semantics { IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT }

    /** The nodes that share the deduplication of a query: all, those of one zone, or those of one cell. */
    public enum DedupScope { ALL, ZONE, CELL }
}
