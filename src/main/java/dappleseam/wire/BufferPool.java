package dappleseam.wire;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** Buffers of one size, used again. Bounded; for the I/O thread alone. */
public final class BufferPool {
    /** Bytes of a buffer: most messages fit into one, the longest value into nine. */
    public static final int SIZE = 8 << 10;
    /** Share of the buffers kept for answers: below it, nothing more is read from clients. */
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

    /** So many are in use that what is left is needed for what has been taken already. */
    public boolean isScarce() {
        return most - out < KEPT_FOR_ANSWERS * most;
    }

    /** Bytes that may still be taken. */
    public long free() {
        return (long) (most - out) * SIZE;
    }

    /** Bytes in all. */
    public long totalBytes() {
        return (long) most * SIZE;
    }

    public int inUse() {
        return out;
    }
}
