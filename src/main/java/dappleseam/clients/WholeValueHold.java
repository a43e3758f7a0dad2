package dappleseam.clients;

import dappleseam.query.Transfer;
import dappleseam.wire.IoLoop;

/**
 * Holds a large value back until it has arrived whole. A value that breaks off after a part of it was passed on ends the connection, and with it the
 * commands behind; one that is held costs only itself. A value is held for as long as its server goes on writing it, but no longer than its client waits
 * for the first bytes; the time for which it had to wait for earlier replies does not count.
 */
final class WholeValueHold {
    /** Time in ms without a byte of the value after which it is passed on: the client may not be kept waiting for a server that has stalled. */
    private static final double MAX_GAP_MS = 1500;
    /** Time in ms before its client's deadline at which a value is passed on at the latest, which covers a thread that is held up. */
    private static final double DEADLINE_MARGIN_MS = 150;

    private final IoLoop loop;
    private final HoldBudget budget;
    private final Runnable onTimeout;
    private Transfer held;
    private long grantedBytes;
    /** Bytes of the value that had arrived when it was last asked for. */
    private long arrivedBytes;
    private double latestEndAt;
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
            begin(value, leftMs);
        }
        if (grantedBytes == 0) {
            return false;
        }
        if (loop.nowMs() < endsAt && value.arrivedBytes() > arrivedBytes) {
            extend();
        }
        return loop.nowMs() < endsAt;
    }

    private void begin(Transfer value, double leftMs) {
        release();
        held = value;
        latestEndAt = loop.nowMs() + Math.max(leftMs / 2, leftMs - DEADLINE_MARGIN_MS);
        grantedBytes = budget.grant(value.length);
        if (grantedBytes > 0) {
            extend();
            awaitEnd();
            value.holdWhole();
        }
    }

    /** More of the value has arrived. */
    private void extend() {
        arrivedBytes = held.arrivedBytes();
        endsAt = Math.min(latestEndAt, loop.nowMs() + MAX_GAP_MS);
    }

    /** Runs the callback when the hold ends, which may be later by then. */
    private void awaitEnd() {
        timer = loop.scheduleAt(endsAt, () -> {
            if (loop.nowMs() < endsAt) {
                awaitEnd();
            } else {
                onTimeout.run();
            }
        });
    }

    /** Ends the hold, once the value has been passed on or given up. */
    void release() {
        timer.cancelTask();
        budget.release(grantedBytes);
        grantedBytes = 0;
        held = null;
    }
}
