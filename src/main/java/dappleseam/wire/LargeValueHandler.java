package dappleseam.wire;

import java.nio.ByteBuffer;

/** Receives a large value part by part as it arrives, so that it need not be buffered as a whole. */
public interface LargeValueHandler {
    /** Minimum bytes of a large value. */
    int MIN_BYTES = (64 << 10) + 1;
    /** Maximum bytes of any value. */
    int MAX_BYTES = 4 << 20;

    /** Called when a value of {@code length} bytes begins. */
    void valueStarted(long length);

    /** Consumes the next {@code count} bytes of the value from {@code in}. */
    void valueBytes(ByteBuffer in, int count);
}
