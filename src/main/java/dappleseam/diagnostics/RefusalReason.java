package dappleseam.diagnostics;

/** Why a query was answered without an execution being considered. */
public enum RefusalReason {
    /** The table of open queries is full. */
    TABLE_FULL,
    /** More input is waiting than can be read ahead, so that a close of the client may follow. */
    UNREAD_INPUT,
    /** No buffers are free for it. */
    NO_BUFFERS,
    /** The connection takes no more commands. */
    CLOSING,
    /** Unknown service grade or no usable time. */
    INVALID_FACTS,
    /** A recent query had the same id. */
    DUPLICATE_ID,
    /** The router rejected it. */
    ROUTER
}
