package dappleseam.query;

/**
 * What a deployment allows of connections: commands on one at once, how many there are to be before
 * another is opened, the time after which the node closes
 * an idle one, the time in which one comes up, and whether giving up must end the connection, as where
 * two executions of a query may never be out together.
 */
public record Connections(int commandsAtOnce, int commandsWanted, double idleCloseMs, double connectTimeoutMs,
                          boolean closeToGiveUp) {}
