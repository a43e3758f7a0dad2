package dappleseam.clients;

import dappleseam.wire.IoLoop;
import dappleseam.wire.NextTurnTask;

/**
 * Bounds the command bytes that are taken from all clients together in a turn of the I/O thread, so that a turn stays short however many clients send
 * faster than they are served.
 */
final class ReadShare {
    private static final int TURN_BYTES = 64 << 10;
    private static final int MAX_PASS_BYTES = 8 << 10;
    /** Bytes for each client once the turn's are used up: a few commands, so that a client that sends little is always served. */
    private static final int MIN_PASS_BYTES = 256;

    private int turnBytes;
    private final NextTurnTask reset;

    ReadShare(IoLoop loop) {
        reset = new NextTurnTask(loop::executeNextTurn, () -> turnBytes = 0);
    }

    /** Counts command bytes that were taken from a client. */
    void add(int bytes) {
        turnBytes += bytes;
        if (turnBytes >= MAX_PASS_BYTES) {
            reset.queue();
        }
    }

    /** Whether the turn's bytes are used up. */
    boolean isUsedUp() {
        return turnBytes >= TURN_BYTES;
    }

    /** Bytes of commands that a client may have read in a pass. */
    int passBytes() {
        return Math.max(MIN_PASS_BYTES, Math.min(MAX_PASS_BYTES, TURN_BYTES - turnBytes));
    }
}
