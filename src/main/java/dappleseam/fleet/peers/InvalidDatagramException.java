package dappleseam.fleet.peers;

import java.io.IOException;

/** A datagram was rejected, and why. */
public final class InvalidDatagramException extends IOException {
    private static final long serialVersionUID = 1L;

    /** As counted in the metrics. */
    public enum Reason {
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

    private final transient Reason reason;

    InvalidDatagramException(Reason reason) {
        super(reason.name(), null);
        this.reason = reason;
    }

    public Reason reason() {
        return reason;
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
        return this; // no stack trace: invalid datagrams may arrive at a high rate
    }
}
