package dappleseam.router;

/**
 * What one router knows of a node that means the same to another build or process, all of it under the node's start:
 * until when it is set aside or passed over (clock times in ms), its scale when it holds nothing, and the shed share.
 */
public record NodeHealth(NodeId node, double startedAtMs, double ejectedUntilMs, double busyUntilMs, double idleWeight,
                     double shedShare) {
    /** The same with another time of the node's start. */
    public NodeHealth withStartedAt(double atMs) {
        return new NodeHealth(node, atMs, ejectedUntilMs, busyUntilMs, idleWeight, shedShare);
    }
}
