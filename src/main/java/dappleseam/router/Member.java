package dappleseam.router;

/** What the list says of one node; {@code startedAtMs} is 0 where it started long ago. */
public record Member(NodeId node, State state, int model, int cell, int zone, double weight,
                     double startedAtMs) {
    public enum State { READY, DRAINING, GONE }

    // Written out, as a record's own takes microseconds each without the second compiler, and a list names thousands.
    @Override
    public boolean equals(Object other) {
        return other instanceof Member that && node.equals(that.node) && state == that.state && model == that.model && cell == that.cell
                && zone == that.zone && Double.compare(weight, that.weight) == 0 && Double.compare(startedAtMs, that.startedAtMs) == 0;
    }

    @Override
    public int hashCode() {
        return node.hashCode();
    }

    /** The same with another time of its start. */
    public Member withStartedAt(double atMs) {
        return new Member(node, state, model, cell, zone, weight, atMs);
    }
}
