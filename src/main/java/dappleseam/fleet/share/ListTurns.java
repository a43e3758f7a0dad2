package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * Schedules calls to a list service that has failed: in turns if other members report the failure too, otherwise independently.
 * Performs no I/O; times are ms of the caller's clock.
 */
public final class ListTurns {
    /** Stands for the list service in observations and verdicts. No list has a node of this id, and the service has no start time. */
    public static final NodeId SERVICE = new NodeId(0);
    /** Members that call in the same turn. */
    private static final int AT_ONCE = 2;
    /** Time in ms from one turn to the next. */
    private static final double STEP_MS = 200;
    /** Maximum wait in ms for a turn, which an outage adds to the age of a list. */
    private static final double LONGEST_MS = 4000;
    /** Time in ms for which a verdict of other members is valid; it is repeated every second. */
    private static final double WORD_MS = 5000;

    private double saidAt = Double.NEGATIVE_INFINITY;
    private int turn;

    /**
     * Takes other members' verdict on the service. Returns the time in ms until this member should call it, if it works again, or
     * NaN.
     */
    public double said(double nowMs, Said said) {
        turn = Math.max(0, said.turn());
        if (said.word() == Word.WORKS) {
            saidAt = Double.NEGATIVE_INFINITY;
            return waits();
        }
        saidAt = said.word() == Word.FAILS ? nowMs : saidAt;
        return Double.NaN;
    }

    /** The time in ms until the next call after a failed one. {@code ownDelayMs}: that time if no other member reports a failure. */
    public double again(double nowMs, double ownMs) {
        return nowMs > saidAt + WORD_MS ? ownMs : ownMs + waits();
    }

    private double waits() {
        return Math.min(LONGEST_MS, turn / AT_ONCE * STEP_MS);
    }
}
