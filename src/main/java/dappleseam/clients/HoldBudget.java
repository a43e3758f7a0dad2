package dappleseam.clients;

import dappleseam.wire.BufferPool;

/** Grants buffers for large values that are held back until they have arrived whole. */
final class HoldBudget {
    /** Share of the buffers for all of them. */
    private static final double SHARE = 0.2;

    private final BufferPool pool;
    private long grantedBytes;

    HoldBudget(BufferPool pool) {
        this.pool = pool;
    }

    /** Grants room for a value: returns {@code bytes}, or 0 if there is none. */
    long grant(long bytes) {
        if (grantedBytes + bytes > SHARE * pool.totalBytes() || pool.isScarce()) {
            return 0;
        }
        grantedBytes += bytes;
        return bytes;
    }

    /** Returns a grant, once the value has been passed on or given up. */
    void release(long bytes) {
        grantedBytes -= bytes;
    }
}
