package dappleseam.query;

/**
 * What a deployment allows of connections: commands on one at once, whether it is to be shared before
 * another is opened, as where open ones have a price, the time after which the node closes an idle one,
 * the time in which one comes up, and whether giving up must end the connection, as where two executions
 * of a query may never be out together; and what has been seen of connections used again.
 */
public record ConnectionPolicy(int maxCommandsPerConnection, boolean preferSharing, double idleCloseMs, double connectTimeoutMs,
                          boolean closeToCancel, ReuseStats reuseStats) {
    /** Share of the node's own idle time after which a connection is closed, before the node does. */
    private static final double IDLE_SHARE = 0.7;

    /** How long a connection may stand idle here. */
    public double idleTimeoutMs() {
        return IDLE_SHARE * idleCloseMs;
    }
}
