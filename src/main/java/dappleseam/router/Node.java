package dappleseam.router;

/** State that one router keeps about a listed node. */
final class Node {
    final NodeId id;
    final long seed;
    final boolean isOrigin;
    final OutcomeCounts outcomes;
    final Limit limit;
    Member.State state;
    double startedAt;
    int zone;
    int cell;
    double weight;
    /** With dynamic weights the largest weight ever listed, which is the weight of the node without load. */
    double idleWeight;
    /** Queries held per core according to the last list update, estimated from how far the weight has fallen. */
    double heldPerCore;
    /** Share of its keys that currently go to its successors. */
    double shedShare;
    /** Slot in the ring, negative if it is not in the ring, and the number of its tokens there. */
    int ringSlot = -1;
    int ringTokens;
    /** Number of the last walk of the ring that visited this node. */
    int lastWalk;
    int inFlight;
    /** Moving average of the answer time, in ms. */
    double meanAnswerMs;
    /** Share of this proxy's executions that go to the node. */
    final DecayingShare queryShare;
    /** Whether a connection to it may be open. */
    boolean mayBeConnected;
    /** Failures since the last answer. */
    int consecutiveFailures;
    double lastAnswerAt;
    /** 0 in service; in the future while the node is ejected; in the past while it is on trial. */
    double ejectedUntil;
    int trialsLeft;
    /** The node is avoided until then, as it was late or full. */
    double busyUntil;

    Node(NodeId id, boolean isOrigin, OutcomeCounts outcomes, Limit limit, DecayingShare queryShare) {
        this.id = id;
        seed = Hash.mix(id.value());
        this.isOrigin = isOrigin;
        this.outcomes = outcomes;
        this.limit = limit;
        this.queryShare = queryShare;
    }

    /**
     * Updates the node from the list. A new start time discards what was learned about the previous process. Returns whether the ring has
     * to change.
     */
    boolean updateFrom(Member m, double newWeight, boolean dynamicWeights) {
        boolean ringChanges = state != m.state() || weight != newWeight || zone != m.zone();
        if (m.startedAtMs() != startedAt) {
            consecutiveFailures = 0;
            ejectedUntil = 0;
            trialsLeft = 0;
            outcomes.clear();
            shedShare = 0;
            heldPerCore = 0;
        }
        state = m.state();
        startedAt = m.startedAtMs();
        zone = m.zone();
        cell = m.cell();
        weight = newWeight;
        if (dynamicWeights && m.weight() > 0) {
            idleWeight = Math.max(idleWeight, m.weight());
            heldPerCore = idleWeight / m.weight() - 1;
        }
        return ringChanges;
    }

    /** State for the router of the next process; null if there is nothing to pass on. */
    NodeHealth health() {
        boolean nothing = ejectedUntil == 0 && busyUntil == 0 && idleWeight == 0;
        return nothing ? null : new NodeHealth(id, startedAt, ejectedUntil, busyUntil, idleWeight, shedShare);
    }

    /** Restores passed-on state. Times are bounded by those this router would set itself; an ejected node returns through a trial. */
    void restoreHealth(NodeHealth known, double maxEjectedUntil, double maxBusyUntil, int trials) {
        if (known.startedAtMs() != startedAt) {
            return; // the node has restarted since
        }
        ejectedUntil = Math.min(known.ejectedUntilMs(), maxEjectedUntil);
        trialsLeft = ejectedUntil > 0 ? trials : 0;
        busyUntil = Math.min(known.busyUntilMs(), maxBusyUntil);
        idleWeight = Math.max(idleWeight, known.idleWeight());
        shedShare = known.shedShare();
    }

    boolean isReady() {
        return state == Member.State.READY;
    }

    void recordAnswer(double atMs) {
        lastAnswerAt = atMs;
        consecutiveFailures = 0;
    }
}
