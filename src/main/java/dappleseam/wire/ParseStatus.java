package dappleseam.wire;

/** How far a parser has come with a message. */
public enum ParseStatus {
    /** All bytes are used up and the message goes on. */
    NEED_MORE,
    /** The message is whole; bytes of the next may follow. */
    DONE,
    /** What came is no message. */
    MALFORMED
}
