package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/** What one member's own executions show of one process of a cache. {@code startedAtMs}: as the list has it; {@code ageMs}: how long ago, 0 to {@link #MAX_AGE_MS}. */
public record NodeObservation(NodeId node, long startedAtMs, boolean failing, long ageMs) {
    /** Older than this, it says nothing any more: a thin proxy comes to try a cache again twice a minute. */
    public static final long MAX_AGE_MS = 30_000;
    /** Latest start that is one. */
    public static final long MAX_START = 1L << 47;

    public NodeObservation {
        if (startedAtMs < 0 || startedAtMs > MAX_START || ageMs < 0) {
            throw new IllegalArgumentException("no sight");
        }
    }

    NodeObservation olderBy(double ms) {
        return new NodeObservation(node, startedAtMs, failing, ageMs + Math.round(Math.max(0, ms)));
    }
}
