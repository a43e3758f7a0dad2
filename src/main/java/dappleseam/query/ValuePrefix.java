package dappleseam.query;

import dappleseam.wire.BufferChain;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * The first bytes of a large value, of which only number and checksums are kept. Where a client has got them, another node's copy of the value can give the
 * rest if it is as long and begins with the same bytes: the client then has exactly that copy.
 */
public final class ValuePrefix {
    private final CRC32C firstChecksum = new CRC32C();
    private final CRC32 secondChecksum = new CRC32();
    private long size;

    public long size() {
        return size;
    }

    /** Appends the first {@code count} bytes of {@code source}, which keeps them. */
    void append(BufferChain source, long count) {
        source.updateChecksum(firstChecksum, count);
        source.updateChecksum(secondChecksum, count);
        size += count;
    }

    boolean isSameAs(ValuePrefix other) {
        return size == other.size && firstChecksum.getValue() == other.firstChecksum.getValue() && secondChecksum.getValue() == other.secondChecksum.getValue();
    }
}
