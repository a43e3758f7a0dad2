package dappleseam.wire;

import java.nio.ByteBuffer;

/** Receives a large value part by part as it arrives, so that it need not be buffered as a whole. */
public interface Large {
    /** Minimum bytes of a large value. */
    int FROM = (64 << 10) + 1;
    /** Maximum bytes of any value. */
    int LONGEST = 4 << 20;

    /** Called when a value of {@code length} bytes begins. */
    void begins(long length);

    /** Consumes the next {@code count} bytes of the value from {@code in}. */
    void part(ByteBuffer in, int count);
}
