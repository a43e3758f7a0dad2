package dappleseam.fleet.peers;

import java.io.IOException;

/** A datagram that is dropped, and why. */
public final class InvalidDatagramException extends IOException {
    private static final long serialVersionUID = 1L;

    /** As the figures count them. */
    public enum Why {
        /** Over the size that any proxy sends, or under the least. */
        SIZE,
        /** Not of this program, or of a version of the format that this build does not read. */
        VERSION,
        /** Its check sum is another. */
        DAMAGED,
        /** Of a fleet by another name. */
        FOREIGN,
        /** Sound on its way, but not what any proxy sends. */
        MALFORMED
    }

    private final transient Why why;

    InvalidDatagramException(Why why) {
        super(why.name(), null);
        this.why = why;
    }

    public Why why() {
        return why;
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
        return this; // garbage may come fast
    }
}
