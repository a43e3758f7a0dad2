package dappleseam.query;

/**
 * Statistics of reused connections, by the time they had been idle. Protects queries from networks or nodes that silently drop idle
 * connections long before the configured idle timeout.
 */
public final class ReuseStats {
    /** Upper bound of the first class of idle times, in ms; each further class is twice as long. */
    private static final double SHORTEST_CLASS_MS = 25;
    private static final int CLASSES = 12;
    /** Share of failed reuses above which an idle time is too long, and the fewest reuses that count. */
    private static final double BROKEN_SHARE = 0.2;
    private static final double MIN_SAMPLES = 4;
    /** Decay of the counts with each reuse: about the last twenty count. */
    private static final double DECAY = 0.95;
    /** One in so many is reused all the same, as the cause may have gone. */
    private static final int PROBE_INTERVAL = 16;

    private final double[] all = new double[CLASSES];
    private final double[] broken = new double[CLASSES];
    private int refusals;

    private static int classOf(double idleMs) {
        int doublings = (int) Math.ceil(Math.log(Math.max(1, idleMs / SHORTEST_CLASS_MS)) / Math.log(2));
        return Math.min(CLASSES - 1, doublings);
    }

    /** Whether a connection that has been idle for so long may carry another command. */
    public boolean mayReuse(double idleMs) {
        int c = classOf(idleMs);
        return all[c] < MIN_SAMPLES || broken[c] <= BROKEN_SHARE * all[c] || ++refusals % PROBE_INTERVAL == 0;
    }

    /** Records a reuse after so long an idle time, and whether the connection broke before the answer. */
    public void recordReuse(double idleMs, boolean broke) {
        int c = classOf(idleMs);
        all[c] = all[c] * DECAY + 1;
        broken[c] = broken[c] * DECAY + (broke ? 1 : 0);
    }
}
