package dappleseam.router;

/** The list's entry for one node; {@code startedAtMs} is 0 if it started long ago, {@code model} an index into the configured models. */
public record Member(NodeId node, State state, int model, int cell, int zone, double weight,
                     double startedAtMs) {
    public enum State { READY, DRAINING, GONE }

    // Explicit, as the generated method takes microseconds per call until it is compiled by C2, and a list has thousands of entries.
    @Override
    public boolean equals(Object other) {
        return other instanceof Member that && node.equals(that.node) && state == that.state && model == that.model && cell == that.cell
                && zone == that.zone && Double.compare(weight, that.weight) == 0 && Double.compare(startedAtMs, that.startedAtMs) == 0;
    }

    @Override
    public int hashCode() {
        return node.hashCode();
    }

    /** A copy with another start time. */
    public Member withStartedAt(double atMs) {
        return new Member(node, state, model, cell, zone, weight, atMs);
    }
}
