package dappleseam.clients;

import dappleseam.query.Transfer;
import dappleseam.wire.IoLoop;

/**
 * Holds a large value back until it has arrived whole. A value that breaks off after a part of it was passed on ends the connection, and with it the
 * commands behind; one that is held costs only itself. A value is held no longer than its client waits for the first bytes; the time for which it had to
 * wait for earlier replies does not count.
 */
final class WholeValueHold {
    /** Time in ms for which a value is held back at most: a server may write for seconds. */
    private static final double MAX_HOLD_MS = 1500;

    private final IoLoop loop;
    private final HoldBudget budget;
    private final Runnable onTimeout;
    private Transfer held;
    private long grantedBytes;
    private double endsAt;
    private IoLoop.PendingTask timer = () -> { };

    WholeValueHold(IoLoop loop, HoldBudget budget, Runnable onTimeout) {
        this.loop = loop;
        this.budget = budget;
        this.onTimeout = onTimeout;
    }

    /** Whether to hold the value back, for which room and time are needed: {@code leftMs} from when it is first asked for. */
    boolean holds(Transfer value, double leftMs) {
        if (held != value) {
            release();
            held = value;
            endsAt = loop.nowMs() + Math.min(leftMs, MAX_HOLD_MS);
            grantedBytes = budget.grant(value.length);
            if (grantedBytes > 0) {
                timer = loop.scheduleAt(endsAt, onTimeout);
                value.holdWhole();
            }
        }
        return grantedBytes > 0 && loop.nowMs() < endsAt;
    }

    /** Ends the hold, once the value has been passed on or given up. */
    void release() {
        timer.cancelTask();
        budget.release(grantedBytes);
        grantedBytes = 0;
        held = null;
    }
}
