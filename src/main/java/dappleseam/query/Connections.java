package dappleseam.query;

/**
 * What a deployment allows of connections: commands on one at once, the time after which the node closes
 * an idle one, the time in which one comes up, and whether giving up must end the connection, as where two
 * executions of a query may never be out together.
 */
public record Connections(int commandsAtOnce, double idleCloseMs, double connectTimeoutMs, boolean closeToGiveUp) {
    /** Share of the node's own idle time after which a connection is closed, before the node does. */
    private static final double IDLE_SHARE = 0.7;

    /** Time in ms after an answer in which the node's own closing of the connection may still be on its way. */
    private static final double SETTLED_MS = 5;

    /** Whether a connection that has been idle since then is a better choice than one just used. */
    public static boolean isSettled(double idleSinceMs, double nowMs) {
        return nowMs - idleSinceMs > SETTLED_MS;
    }

    /** How long a connection may stand idle here. */
    public double retireMs() {
        return IDLE_SHARE * idleCloseMs;
    }
}
