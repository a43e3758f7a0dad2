package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * What a member announces about one process of a cache because of its own executions. {@code startedAtMs}: start of the process
 * according to the list; {@code ageMs}: time since the observation, 0 to {@link #MAX_AGE_MS}.
 */
public record NodeObservation(NodeId node, long startedAtMs, boolean failing, long ageMs) {
    /** Age in ms above which an observation is ignored. A proxy with little traffic tries a cache again twice a minute. */
    public static final long MAX_AGE_MS = 30_000;
    /** Greatest valid start. */
    public static final long MAX_START = 1L << 47;

    public NodeObservation {
        if (startedAtMs < 0 || startedAtMs > MAX_START || ageMs < 0) {
            throw new IllegalArgumentException("observation field out of range");
        }
    }

    NodeObservation agedBy(double ms) {
        return new NodeObservation(node, startedAtMs, failing, ageMs + Math.round(Math.max(0, ms)));
    }
}
