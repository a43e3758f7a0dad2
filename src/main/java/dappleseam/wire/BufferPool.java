package dappleseam.wire;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** A bounded pool of direct buffers of one size. Not thread-safe: for the I/O thread only. */
public final class BufferPool {
    /** Bytes of a buffer: most messages fit into one buffer, a value below the large-value threshold into nine. */
    public static final int SIZE = 8 << 10;
    /** Share of the buffers reserved for replies: when less is available, clients are not read. */
    private static final double RESERVED_FOR_REPLIES = 0.5;
    /** Share of the buffers reserved for short messages: when less is available, no more is taken of a long value than its peer takes. */
    private static final double RESERVED_FOR_SHORT = 0.125;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>();
    private int maxBuffers;
    private int inUseCount;

    public BufferPool(int maxBuffers) {
        this.maxBuffers = maxBuffers;
    }

    /** Raises the bound. */
    public void setMaxBuffers(int newMaxBuffers) {
        maxBuffers = Math.max(maxBuffers, newMaxBuffers);
    }

    ByteBuffer acquire() {
        if (inUseCount >= maxBuffers) {
            throw new IllegalStateException("all " + maxBuffers + " buffers are in use");
        }
        inUseCount++;
        ByteBuffer buffer = free.pollLast();
        return buffer != null ? buffer : ByteBuffer.allocateDirect(SIZE);
    }

    /** Takes back a buffer; one that is not of this pool is left to the garbage collector. */
    void recycle(ByteBuffer buffer) {
        if (buffer.capacity() == SIZE) {
            inUseCount--;
            free.addLast(buffer.clear());
        }
    }

    /** Whether the available buffers are needed for the queries already accepted. */
    public boolean isScarce() {
        return maxBuffers - inUseCount < RESERVED_FOR_REPLIES * maxBuffers;
    }

    /** Whether the available buffers are needed for short messages. */
    public boolean isNearlyUsedUp() {
        return maxBuffers - inUseCount < RESERVED_FOR_SHORT * maxBuffers;
    }

    /** Bytes still available. */
    public long availableBytes() {
        return (long) (maxBuffers - inUseCount) * SIZE;
    }

    /** Capacity in bytes. */
    public long totalBytes() {
        return (long) maxBuffers * SIZE;
    }

    /** Number of buffers in use. */
    public int inUse() {
        return inUseCount;
    }
}
