package dappleseam.query;

/**
 * Rules for the connections to a node: the commands in flight on one connection, where no further one may be opened; whether probes
 * are allowed; the idle time after which the node closes a connection; the connect timeout; whether cancelling an
 * execution must close its connection, as where two executions of a query must never be in flight together; and the statistics of reused
 * connections.
 */
public record ConnectionPolicy(int maxCommandsPerConnection, boolean allowsProbes, double idleCloseMs, double connectTimeoutMs,
                          boolean closeToCancel, ReuseStats reuseStats) {
    /** Share of the node's idle timeout after which a connection is closed here, before the node closes it. */
    private static final double IDLE_SHARE = 0.7;

    /** Time after which an idle connection is closed here. */
    public double idleTimeoutMs() {
        return IDLE_SHARE * idleCloseMs;
    }
}
