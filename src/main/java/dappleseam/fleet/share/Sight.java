package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/** What one member's own executions show of one process of a cache. {@code startedAtMs}: as the list has it; {@code ageMs}: how long ago, 0 to {@link #OLDEST_MS}. */
public record Sight(NodeId node, long startedAtMs, boolean fails, long ageMs) {
    /** Older than this, it says nothing any more: a thin proxy comes to try a cache again twice a minute. */
    public static final long OLDEST_MS = 30_000;
    /** Latest start that is one. */
    public static final long LATEST = 1L << 47;

    public Sight {
        if (startedAtMs < 0 || startedAtMs > LATEST || ageMs < 0) {
            throw new IllegalArgumentException("no sight");
        }
    }

    Sight olderBy(double ms) {
        return new Sight(node, startedAtMs, fails, ageMs + Math.round(Math.max(0, ms)));
    }
}
