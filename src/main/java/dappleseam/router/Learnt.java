package dappleseam.router;

/**
 * What one router knows of a node that means the same to another build or process, all of it under the node's start:
 * until when it is set aside or passed over (clock times in ms), its scale when it holds nothing, and the shed share.
 */
public record Learnt(NodeId node, double startedAtMs, double asideUntilMs, double busyUntilMs, double idleScale,
                     double shed) {
    /** The same with another time of the node's start. */
    public Learnt startedAt(double atMs) {
        return new Learnt(node, atMs, asideUntilMs, busyUntilMs, idleScale, shed);
    }
}
