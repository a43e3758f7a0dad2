package dappleseam.wire;

/** State of an incremental parser after a read. */
public enum Progress {
    /** All bytes are consumed, and the message is incomplete. */
    MORE,
    /** The message is complete; unconsumed bytes belong to the next one. */
    DONE,
    /** The bytes are not a valid message. */
    BAD
}
