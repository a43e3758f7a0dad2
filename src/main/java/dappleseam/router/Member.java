package dappleseam.router;

/** What the list says of one node; {@code startedAtMs} is 0 where it started long ago. */
public record Member(NodeId node, State state, int model, int cell, int zone, double scale,
                     double startedAtMs) {
    public enum State { READY, DRAINING, GONE }

    /** The same with another time of its start. */
    public Member startedAt(double atMs) {
        return new Member(node, state, model, cell, zone, scale, atMs);
    }
}
