package dappleseam.wire;

/** State of an incremental parser after a read. */
public enum ParseStatus {
    /** All bytes are consumed, and the message is incomplete. */
    NEED_MORE,
    /** The message is complete; unconsumed bytes belong to the next one. */
    DONE,
    /** The bytes are not a valid message. */
    MALFORMED
}
