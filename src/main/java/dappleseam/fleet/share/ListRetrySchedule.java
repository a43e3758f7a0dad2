package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * When to call a list service that has failed: by turns where others say that it fails, too, and by oneself where nobody does. Free of I/O; times are ms of one clock, that of whoever calls.
 */
public final class ListRetrySchedule {
    /** The service, where members tell each other of it as of a cache: no list has a node of that id, and it has no start. */
    public static final NodeId LIST_SERVICE = new NodeId(0);
    /** Members that call at once, and the time in ms until the next do; the longest wait for a turn: what an outage adds to the age of a list. */
    private static final int AT_ONCE = 2;
    private static final double STEP_MS = 200;
    private static final double LONGEST_MS = 4000;
    /** Time in ms for which others' word counts after it was last said: it is said again every second. */
    private static final double WORD_MS = 5000;

    private double saidAt = Double.NEGATIVE_INFINITY;
    private int turn;

    /** Others' word on the service. The time in ms until this member's call, where that is due because it works again; NaN where it is not. */
    public double onVerdict(double nowMs, PeerVerdict said) {
        turn = Math.max(0, said.retryRank());
        if (said.kind() == VerdictKind.WORKS) {
            saidAt = Double.NEGATIVE_INFINITY;
            return waits();
        }
        saidAt = said.kind() == VerdictKind.FAILS ? nowMs : saidAt;
        return Double.NaN;
    }

    /** The time in ms until the next call after one that failed; {@code ownMs}: without others. */
    public double retryDelayMs(double nowMs, double ownMs) {
        return nowMs > saidAt + WORD_MS ? ownMs : ownMs + waits();
    }

    private double waits() {
        return Math.min(LONGEST_MS, turn / AT_ONCE * STEP_MS);
    }
}
