package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * What a member announces about one process of a cache because of its own executions. {@code startedAtMs}: start of the process
 * according to the list; {@code ageMs}: time since the observation, 0 to {@link #MAX_AGE_MS}.
 */
public record Sight(NodeId node, long startedAtMs, boolean fails, long ageMs) {
    /** Age in ms above which an observation is ignored. A proxy with little traffic tries a cache again twice a minute. */
    public static final long OLDEST_MS = 30_000;
    /** Greatest valid start. */
    public static final long LATEST = 1L << 47;

    public Sight {
        if (startedAtMs < 0 || startedAtMs > LATEST || ageMs < 0) {
            throw new IllegalArgumentException("observation field out of range");
        }
    }

    Sight olderBy(double ms) {
        return new Sight(node, startedAtMs, fails, ageMs + Math.round(Math.max(0, ms)));
    }
}
