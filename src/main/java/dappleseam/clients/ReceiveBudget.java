package dappleseam.clients;

import dappleseam.wire.BufferPool;
import dappleseam.wire.LargeValueHandler;

/**
 * Grants buffers for values that are being received from clients, before their bytes are read. Long values get a smaller share than all, so that
 * short ones are still received while clients write long ones slowly.
 */
final class ReceiveBudget {
    /** Shares of the buffers for all values, and for one that is long, given all that are being received. */
    private static final double SHARE = 0.4;
    private static final double LONG_VALUE_SHARE = 0.3;

    private final BufferPool pool;
    private long grantedBytes;

    ReceiveBudget(BufferPool pool) {
        this.pool = pool;
    }

    /** Grants buffers for so many bytes: returns the bytes granted, or 0 if they are not available now. */
    long grant(long bytes) {
        long rounded = (bytes + BufferPool.SIZE - 1) / BufferPool.SIZE * BufferPool.SIZE;
        double share = bytes >= LargeValueHandler.MIN_BYTES ? LONG_VALUE_SHARE : SHARE;
        boolean fits = grantedBytes + rounded <= share * pool.totalBytes();
        boolean isOnlyOne = grantedBytes == 0;
        if (!fits && !isOnlyOne || pool.availableBytes() - grantedBytes < rounded) {
            return 0;
        }
        grantedBytes += rounded;
        return rounded;
    }

    /** Returns a grant, once the value is received or given up. */
    void release(long bytes) {
        grantedBytes -= bytes;
    }
}
