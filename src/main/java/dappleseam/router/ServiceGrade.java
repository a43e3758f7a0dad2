package dappleseam.router;

/**
 * What is promised for one kind of query; {@code tardyShare} of its importance is paid past the SLO time, up to the
 * statement timeout.
 */
public record ServiceGrade(Semantics semantics, Group group, double dedupWindowMs, double sloMs,
                           double timeoutMs, double importance, double tardyShare, boolean stream) {
    public enum Semantics { IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT }

    /** Which nodes drop repeats of a deduplicated query. */
    public enum Group { ALL, ZONE, CELL }
}
