package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * Schedules calls to a list service that has failed: in turns if other members report the failure too, otherwise independently.
 * Performs no I/O; times are ms of the caller's clock.
 */
public final class ListRetrySchedule {
    /** Stands for the list service in observations and verdicts. No list has a node of this id, and the service has no start time. */
    public static final NodeId LIST_SERVICE = new NodeId(0);
    /** Members that call in the same turn. */
    private static final int CONCURRENT_CALLERS = 2;
    /** Time in ms from one turn to the next. */
    private static final double STEP_MS = 200;
    /** Maximum wait in ms for a turn, which an outage adds to the age of a list. */
    private static final double MAX_WAIT_MS = 4000;
    /** Time in ms for which a verdict of other members is valid; it is repeated every second. */
    private static final double VERDICT_TTL_MS = 5000;

    private double failingAt = Double.NEGATIVE_INFINITY;
    private int rank;

    /**
     * Takes other members' verdict on the service. Returns the time in ms until this member should call it, if it works again, or
     * NaN.
     */
    public double onVerdict(double nowMs, PeerVerdict verdict) {
        rank = Math.max(0, verdict.retryRank());
        if (verdict.kind() == VerdictKind.WORKS) {
            failingAt = Double.NEGATIVE_INFINITY;
            return turnDelayMs();
        }
        failingAt = verdict.kind() == VerdictKind.FAILS ? nowMs : failingAt;
        return Double.NaN;
    }

    /** The time in ms until the next call after a failed one. {@code ownDelayMs}: that time if no other member reports a failure. */
    public double retryDelayMs(double nowMs, double ownDelayMs) {
        return nowMs > failingAt + VERDICT_TTL_MS ? ownDelayMs : ownDelayMs + turnDelayMs();
    }

    private double turnDelayMs() {
        return Math.min(MAX_WAIT_MS, rank / CONCURRENT_CALLERS * STEP_MS);
    }
}
