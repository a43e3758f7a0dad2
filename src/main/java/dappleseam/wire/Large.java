package dappleseam.wire;

import java.nio.ByteBuffer;

/** Takes the bytes of a long value as they come, in place of a buffer that holds all of them. */
public interface Large {
    /** Bytes from which a value is long. */
    int FROM = (64 << 10) + 1;
    /** Bytes of the longest value. */
    int LONGEST = 4 << 20;

    /** A value of so many bytes begins. */
    void begins(long length);

    /** The next {@code count} bytes of {@code in} belong to it; moves the position past them. */
    void part(ByteBuffer in, int count);
}
