package dappleseam.proxy;

import dappleseam.wire.BufferPool;

/**
 * Divides the memory limit, which two processes of an upgrade share. Buffers once allocated are not returned to the system, and an upgrade comes
 * unannounced: the process that came first always leaves room for a second one, which has few buffers until it is alone.
 */
final class BufferMemory {
    private static final int BYTES_PER_MB = 1 << 20;
    /** Processes that share the limit during an upgrade. */
    private static final int PROCESSES = 2;
    /** Memory in MB of a JVM under load beside its heap and the buffers. */
    private static final int JVM_MB = 40;
    /** Share of the limit for buffers at most; the launcher's flags leave a quarter for all direct memory. */
    private static final double MAX_SHARE = 0.2;
    /** Share of the limit for the heap at most, as set by the launcher. */
    private static final double MAX_HEAP_SHARE = 0.25;
    /** Memory in MB for the buffers of the second process, and the least of any: twice the largest value. */
    private static final int SECOND_MB = 8;

    private BufferMemory() {}

    /** The number of buffers of a process with such a limit and heap; {@code isFirst}: no other process came before it. */
    static int buffers(int memoryLimitMb, long maxHeapBytes, boolean isFirst) {
        double heapMb = Math.min((double) maxHeapBytes / BYTES_PER_MB, MAX_HEAP_SHARE * memoryLimitMb);
        double leftMb = memoryLimitMb - PROCESSES * (heapMb + JVM_MB) - SECOND_MB;
        double bufferMb = isFirst ? Math.max(SECOND_MB, Math.min(MAX_SHARE * memoryLimitMb, leftMb)) : SECOND_MB;
        return (int) (bufferMb * (BYTES_PER_MB / BufferPool.SIZE));
    }
}
