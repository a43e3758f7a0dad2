package dappleseam.wire;

import java.nio.ByteBuffer;

/** Takes the bytes of a long value as they come, in place of a buffer that holds all of them. */
public interface LargeValueHandler {
    /** Bytes from which a value is long. */
    int MIN_BYTES = (64 << 10) + 1;
    /** Bytes of the longest value. */
    int MAX_BYTES = 4 << 20;

    /** A value of so many bytes begins. */
    void valueStarted(long length);

    /** The next {@code count} bytes of {@code in} belong to it; moves the position past them. */
    void valueBytes(ByteBuffer in, int count);
}
