package dappleseam.router;

/** What one router holds of a listed node. */
final class Node {
    final NodeId id;
    final long seed;
    final Tally tally;
    final Router.Limit limit = new Router.Limit();
    Member.State state;
    boolean listed;
    boolean isOrigin;
    double startedAt;
    int zone;
    int cell;
    double scale;
    long[] tokens;
    /** The last walk of the ring that met this node. */
    int walk;
    int out;
    /** Failures in a row without a sign of life. */
    int strikes;
    double heardAt;
    /** 0 in service; a time to come while set aside; past while on trial. */
    double asideUntil;
    int trialsLeft;
    boolean probing;

    Node(NodeId id, long seed, Tally tally) {
        this.id = id;
        this.seed = seed;
        this.tally = tally;
    }

    void heard(double atMs) {
        heardAt = atMs;
        strikes = 0;
    }
}
