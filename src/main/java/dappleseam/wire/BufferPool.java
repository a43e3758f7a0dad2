package dappleseam.wire;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** A bounded pool of direct buffers of one size. Not thread-safe: for the I/O thread only. */
public final class BufferPool {
    /** Bytes of a buffer: most messages fit into one buffer, a value below the large-value threshold into nine. */
    public static final int SIZE = 8 << 10;
    /** Share of the buffers reserved for replies: when less is available, clients are not read. */
    private static final double KEPT_FOR_ANSWERS = 0.5;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>();
    private final int most;
    private int out;

    public BufferPool(int most) {
        this.most = most;
    }

    ByteBuffer take() {
        if (out >= most) {
            throw new IllegalStateException("all " + most + " buffers are in use");
        }
        out++;
        ByteBuffer buffer = free.pollLast();
        return buffer != null ? buffer : ByteBuffer.allocateDirect(SIZE);
    }

    void giveBack(ByteBuffer buffer) {
        out--;
        free.addLast(buffer.clear());
    }

    /** Whether the available buffers are needed for the queries already accepted. */
    public boolean isScarce() {
        return most - out < KEPT_FOR_ANSWERS * most;
    }

    /** Bytes still available. */
    public long free() {
        return (long) (most - out) * SIZE;
    }

    /** Capacity in bytes. */
    public long all() {
        return (long) most * SIZE;
    }

    /** Number of buffers in use. */
    public int inUse() {
        return out;
    }
}
