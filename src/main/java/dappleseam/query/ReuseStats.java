package dappleseam.query;

/**
 * What became of connections used again, by how long they had been idle. Guards queries against a network or nodes
 * that forget idle connections without a word, long before the time after which they are said to close them.
 */
public final class ReuseStats {
    /** Bounds of the shortest time told apart, in ms; each next is twice as long. */
    private static final double SHORTEST_MS = 25;
    private static final int CLASSES = 12;
    /** Share of broken ones from which a time idle is too long, and the fewest that tell, in connections. */
    private static final double BROKEN_SHARE = 0.2;
    private static final double LEAST = 4;
    /** What each further one leaves of those before: about the latest twenty tell. */
    private static final double KEPT = 0.95;
    /** Each so many-th is used all the same: the trouble may be over. */
    private static final int TRIED = 16;
    /** Time in ms for which an answer spoilt or missing, or a broken connection, tells of more to come. */
    private static final double TROUBLED_MS = 10_000;

    private final double[] all = new double[CLASSES];
    private final double[] broken = new double[CLASSES];
    private int passedOver;
    private double troubledAt = Double.NEGATIVE_INFINITY;

    private static int classOf(double idleMs) {
        int doublings = (int) Math.ceil(Math.log(Math.max(1, idleMs / SHORTEST_MS)) / Math.log(2));
        return Math.min(CLASSES - 1, doublings);
    }

    /** Whether a connection that has been idle for so long is likely to carry another command. */
    public boolean mayReuse(double idleMs) {
        int c = classOf(idleMs);
        return all[c] < LEAST || broken[c] <= BROKEN_SHARE * all[c] || ++passedOver % TRIED == 0;
    }

    /** An answer was spoilt or never came, or a connection broke under a command. */
    public void recordFailure(double nowMs) {
        troubledAt = nowMs;
    }

    /** Whether commands may share a connection without one's trouble being the others'. */
    public boolean isSharingSafe(double nowMs) {
        return nowMs - troubledAt > TROUBLED_MS;
    }

    /** One was used again after so long, and broke before an answer, or did not. */
    public void recordReuse(double idleMs, boolean broke) {
        int c = classOf(idleMs);
        all[c] = all[c] * KEPT + 1;
        broken[c] = broken[c] * KEPT + (broke ? 1 : 0);
    }
}
