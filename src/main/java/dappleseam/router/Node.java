package dappleseam.router;

/** State that one router keeps about a listed node. */
final class Node {
    final NodeId id;
    final long seed;
    final boolean isOrigin;
    final Tally tally;
    final Limit limit;
    Member.State state;
    double startedAt;
    int zone;
    int cell;
    double scale;
    /** With dynamic weights the largest weight ever listed, which is the weight of the node without load. */
    double idleScale;
    /** Queries held per core according to the last list update, estimated from how far the weight has fallen. */
    double held;
    /** Share of its keys that currently go to its successors. */
    double shed;
    /** Slot in the ring, negative if it is not in the ring, and the number of its tokens there. */
    int ringSlot = -1;
    int ringTokens;
    /** Number of the last walk of the ring that visited this node. */
    int walk;
    int out;
    /** Moving average of the answer time, in ms. */
    double took;
    /** Share of this proxy's executions that go to the node. */
    final Share share;
    /** Whether a connection to it may be open. */
    boolean open;
    /** Failures since the last answer. */
    int strikes;
    double heardAt;
    /** 0 in service; in the future while the node is ejected; in the past while it is on trial. */
    double asideUntil;
    int trialsLeft;
    /** The node is avoided until then, as it was late or full. */
    double busyUntil;

    Node(NodeId id, boolean isOrigin, Tally tally, Limit limit, Share share) {
        this.id = id;
        seed = Hash.mix(id.value());
        this.isOrigin = isOrigin;
        this.tally = tally;
        this.limit = limit;
        this.share = share;
    }

    /**
     * Updates the node from the list. A new start time discards what was learned about the previous process. Returns whether the ring has
     * to change.
     */
    boolean learn(Member m, double newScale, boolean scaleMoves) {
        boolean moves = state != m.state() || scale != newScale || zone != m.zone();
        if (m.startedAtMs() != startedAt) {
            strikes = 0;
            asideUntil = 0;
            trialsLeft = 0;
            tally.clear();
            shed = 0;
            held = 0;
        }
        state = m.state();
        startedAt = m.startedAtMs();
        zone = m.zone();
        cell = m.cell();
        scale = newScale;
        if (scaleMoves && m.scale() > 0) {
            idleScale = Math.max(idleScale, m.scale());
            held = idleScale / m.scale() - 1;
        }
        return moves;
    }

    /** State for the router of the next process; null if there is nothing to pass on. */
    Learnt learnt() {
        boolean nothing = asideUntil == 0 && busyUntil == 0 && idleScale == 0;
        return nothing ? null : new Learnt(id, startedAt, asideUntil, busyUntil, idleScale, shed);
    }

    /** Restores passed-on state. Times are bounded by those this router would set itself; an ejected node returns through a trial. */
    void recall(Learnt known, double untilMost, double busyMost, int trials) {
        if (known.startedAtMs() != startedAt) {
            return; // the node has restarted since
        }
        asideUntil = Math.min(known.asideUntilMs(), untilMost);
        trialsLeft = asideUntil > 0 ? trials : 0;
        busyUntil = Math.min(known.busyUntilMs(), busyMost);
        idleScale = Math.max(idleScale, known.idleScale());
        shed = known.shed();
    }

    boolean isReady() {
        return state == Member.State.READY;
    }

    void heard(double atMs) {
        heardAt = atMs;
        strikes = 0;
    }
}
