package dappleseam.router;

/**
 * What one router has learned about a node, in a form that is valid for another build or process: until when the node is ejected or
 * avoided as busy (clock times in ms), its weight without load, and its shed share. Valid only for the node process started at
 * {@code startedAtMs}.
 */
public record NodeHealth(NodeId node, double startedAtMs, double ejectedUntilMs, double busyUntilMs, double idleWeight,
                     double shedShare) {
    /** A copy with another start time. */
    public NodeHealth withStartedAt(double atMs) {
        return new NodeHealth(node, atMs, ejectedUntilMs, busyUntilMs, idleWeight, shedShare);
    }
}
