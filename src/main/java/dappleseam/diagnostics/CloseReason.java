package dappleseam.diagnostics;

/** Why a client's connection was closed. */
public enum CloseReason {
    /** The client closed it. */
    CLIENT_LEFT,
    /** Reading or writing failed: the client or the network has reset it. */
    CONNECTION_FAILED,
    /** The client sent QUIT. */
    QUIT,
    /** What the client sent is no valid protocol. */
    MALFORMED,
    /** The client was silent, or took too long for a command. */
    SILENCE,
    /** Idle, closed to make room for other clients. */
    EVICTED,
    /** The client takes no reply bytes any more. */
    NOT_READING,
    /** A value that was partly passed on broke off at its node. */
    BROKEN_VALUE,
    /** The proxy is out of service, hands over or shuts down. */
    DRAINED,
    /** An error of this program. */
    INTERNAL_ERROR
}
