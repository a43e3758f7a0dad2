package dappleseam.router;

/** What one router holds of a listed node. */
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
    /** The largest scale ever listed, where scales move with load: the scale of the node when it holds nothing. */
    double idleScale;
    /** Queries held for each core when the list last told, by how far its scale had fallen. */
    double held;
    /** Share of the keys that its successors take for now. */
    double shed;
    /** Where the ring names it, under 0 where it does not, and how many of its tokens are placed there. */
    int ringSlot = -1;
    int ringTokens;
    /** The last walk of the ring that met this node. */
    int walk;
    int out;
    /** Of the latest answers on average, in ms. */
    double took;
    /** Of this proxy's executions. */
    final Share share;
    /** A connection may be open. */
    boolean open;
    /** Failures in a row without a sign of life. */
    int strikes;
    double heardAt;
    /** 0 in service; a time to come while set aside; past while on trial. */
    double asideUntil;
    int trialsLeft;
    /** Late or full lately. */
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
     * Takes over what the list says; a restarted process shares nothing with the one that failed. Whether the ring
     * is another by it.
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
        if (scaleMoves && m.weight() > 0) {
            idleScale = Math.max(idleScale, m.weight());
            held = idleScale / m.weight() - 1;
        }
        return moves;
    }

    /** What may be told to a router that comes after this one; null where nothing was learnt. */
    NodeHealth learnt() {
        boolean nothing = asideUntil == 0 && busyUntil == 0 && idleScale == 0;
        return nothing ? null : new NodeHealth(id, startedAt, asideUntil, busyUntil, idleScale, shed);
    }

    /** Times to come are bounded by what this router itself would set; a node that is avoided comes back by trials. */
    void recall(NodeHealth known, double untilMost, double busyMost, int trials) {
        if (known.startedAtMs() != startedAt) {
            return; // of the process before this one
        }
        asideUntil = Math.min(known.ejectedUntilMs(), untilMost);
        trialsLeft = asideUntil > 0 ? trials : 0;
        busyUntil = Math.min(known.busyUntilMs(), busyMost);
        idleScale = Math.max(idleScale, known.idleWeight());
        shed = known.shedShare();
    }

    boolean isReady() {
        return state == Member.State.READY;
    }

    void heard(double atMs) {
        heardAt = atMs;
        strikes = 0;
    }
}
