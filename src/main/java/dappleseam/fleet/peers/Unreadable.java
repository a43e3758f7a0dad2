package dappleseam.fleet.peers;

import java.io.IOException;

/** A datagram was rejected, and why. */
public final class Unreadable extends IOException {
    private static final long serialVersionUID = 1L;

    /** As counted in the metrics. */
    public enum Why {
        /** Larger than any proxy sends, or too short for a header. */
        SIZE,
        /** Not from this program, or in a format version that this build does not read. */
        VERSION,
        /** Wrong checksum. */
        DAMAGED,
        /** From a fleet of another name. */
        FOREIGN,
        /** Correct checksum, but not a message that a proxy sends. */
        MALFORMED
    }

    private final transient Why why;

    Unreadable(Why why) {
        super(why.name(), null);
        this.why = why;
    }

    public Why why() {
        return why;
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
        return this; // no stack trace: invalid datagrams may arrive at a high rate
    }
}
