package dappleseam.router;

/**
 * What one router has learned about a node, in a form that is valid for another build or process: until when the node is ejected or
 * avoided as busy (clock times in ms), its weight without load, and its shed share. Valid only for the node process started at
 * {@code startedAtMs}.
 */
public record Learnt(NodeId node, double startedAtMs, double asideUntilMs, double busyUntilMs, double idleScale,
                     double shed) {
    /** A copy with another start time. */
    public Learnt startedAt(double atMs) {
        return new Learnt(node, atMs, asideUntilMs, busyUntilMs, idleScale, shed);
    }
}
