package dappleseam.diagnostics;

/** Why a client's connection was closed. */
public enum CloseReason {
    /** The client closed it. */
    CLIENT_LEFT(false),
    /** Reading or writing failed: the client or the network has reset it. */
    CONNECTION_FAILED(false),
    /** The client sent QUIT. */
    QUIT(true),
    /** What the client sent is no valid protocol. */
    MALFORMED(true),
    /** The client was silent, or took too long for a command. */
    SILENCE(true),
    /** Idle, closed to make room for other clients. */
    EVICTED(false),
    /** The client takes no reply bytes any more. */
    NOT_READING(false),
    /** A value that was partly passed on broke off at its node. */
    BROKEN_VALUE(true),
    /** The proxy is out of service, hands over or shuts down. */
    DRAINED(true),
    /** An error of this program. */
    INTERNAL_ERROR(true);

    /** Whether the client is still to receive what was sent to it before. */
    public final boolean lingers;

    CloseReason(boolean lingers) {
        this.lingers = lingers;
    }
}
