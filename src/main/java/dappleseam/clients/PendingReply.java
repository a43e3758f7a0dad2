package dappleseam.clients;

import dappleseam.query.Transfer;
import dappleseam.query.ValuePrefix;
import dappleseam.router.QueryId;
import dappleseam.wire.BufferChain;
import dappleseam.wire.RespWriter;

/** The pending reply to one command. It is written once all earlier replies on the connection have been written. */
public final class PendingReply {
    /** How far a reply has been written. */
    enum Progress { COMPLETE, PARTIAL, BROKEN }

    /** Maximum bytes of a large value in the output queue; more is added when the client has taken them. */
    private static final int MAX_QUEUED_BYTES = 64 << 10;
    /** The same while buffers are scarce. */
    private static final int MAX_QUEUED_BYTES_SCARCE = 8 << 10;
    private static final String ABORTED_REPLY = "-ERR failed";

    private final ClientConnection connection;
    /** Exactly one of these three is set once the reply is available. */
    private BufferChain replyValue;
    private String replyLine;
    private Transfer transfer;
    /** Time in ms that was left to the client when the large value began. */
    private double leftMs;
    /** The part of the large value that has been written; null until its header is. */
    private ValuePrefix written;
    private long writtenLength;
    /** Null for a command other than a query. */
    private QueryId query;
    /** The id that the client gave its query; empty for other commands. */
    private String requestId = "";

    PendingReply(ClientConnection connection) {
        this.connection = connection;
    }

    void setRequestId(String id) {
        requestId = id;
    }

    String requestId() {
        return requestId;
    }

    void setQuery(QueryId id) {
        query = id;
    }

    QueryId query() {
        return query;
    }

    boolean isAnswered() {
        return replyValue != null || replyLine != null || transfer != null;
    }

    /** Replies with a value, and takes ownership of it. */
    public void replyValue(BufferChain completeValue) {
        if (isAnswered() || connection.isClosed()) {
            completeValue.release();
            return;
        }
        replyValue = completeValue;
        connection.flushReplies();
    }

    /** Replies with a large value that is still being received; it is streamed to the client, who waits for its first bytes for another {@code leftMs}. */
    public void replyTransfer(Transfer arriving, double leftMs) {
        if (isAnswered() || connection.isClosed()) {
            arriving.abandon();
            return;
        }
        transfer = arriving;
        this.leftMs = leftMs;
        if (isBegun()) {
            transfer.continueFrom(written);
        }
        connection.flushReplies();
    }

    /** Called when more of the streamed value is available, or it has ended. */
    public void transferAdvanced() {
        if (connection.isClosed()) {
            return;
        }
        if (transfer.isFailed() && isBegun() && connection.resumesValue(this)) {
            Transfer broken = transfer;
            transfer = null; // until another node gives the value
            broken.abandon();
        }
        connection.flushReplies();
    }

    /** Whether the client is still connected; checked just before more work is done for it. */
    public boolean isClientConnected() {
        return connection.isClientConnected();
    }

    /** Replies BUSY: the query had no effect and may be retried, after {@code retryAfterMs} if that is over 0. */
    public void replyBusy(double retryAfterMs) {
        replyLine(retryAfterMs > 0 ? "-BUSY " + (long) Math.ceil(retryAfterMs) : "-BUSY");
    }

    /** Replies that the query has failed and may have run. */
    public void replyAborted() {
        replyLine(ABORTED_REPLY);
    }

    /** Gives up a large value that is still arriving and of which nothing has been written; the replies behind it can be written then. */
    public void abortUnstartedValue() {
        Transfer unstarted = unstartedTransfer();
        if (unstarted != null) {
            transfer = null;
            unstarted.abandon();
            replyAborted();
        }
    }

    /** Replies with a single line that starts with its RESP type character. */
    public void replyLine(String typedLine) {
        if (!isAnswered() && !connection.isClosed()) {
            replyLine = typedLine;
            connection.flushReplies();
        }
    }

    /** The large value of which nothing has been written, and which is still arriving; null if there is none. */
    Transfer unstartedTransfer() {
        return transfer != null && !isBegun() && transfer.isArriving() ? transfer : null;
    }

    /** Whether a part of a large value has been written. */
    private boolean isBegun() {
        return written != null;
    }

    boolean isLarge() {
        return transfer != null;
    }

    /** Whether a part of a large value has been written whose rest is still to arrive, and may break off. */
    boolean isPassingOn() {
        return isBegun() && (transfer == null || transfer.isArriving());
    }

    double leftMs() {
        return leftMs;
    }

    /** Writes what is available, up to the queue limit. A value that broke off before any of it was written becomes an error. */
    Progress writeTo(BufferChain out) {
        if (transfer != null && transfer.isFailed() && !isBegun()) {
            transfer.abandon();
            transfer = null;
            replyLine = ABORTED_REPLY;
        }
        if (transfer != null) {
            return writeTransferTo(out);
        }
        if (isBegun()) { // no other reply can follow a part of a value
            return Progress.BROKEN;
        }
        if (replyLine != null) {
            RespWriter.line(out, replyLine);
        } else {
            RespWriter.bulkMoved(out, replyValue);
        }
        return Progress.COMPLETE;
    }

    private Progress writeTransferTo(BufferChain out) {
        if (transfer.isFailed()) {
            return Progress.BROKEN;
        }
        if (!isBegun()) {
            written = new ValuePrefix();
            writtenLength = transfer.length;
            out.put("$" + transfer.length + "\r\n");
        }
        transfer.skipKnown();
        if (transfer.length != writtenLength || transfer.differs()) {
            return Progress.BROKEN;
        }
        int most = connection.areBuffersScarce() ? MAX_QUEUED_BYTES_SCARCE : MAX_QUEUED_BYTES;
        transfer.moveTo(out, Math.max(0, most - out.size()), written);
        if (!transfer.isDone()) {
            return Progress.PARTIAL;
        }
        out.put("\r\n");
        transfer.delivered();
        return Progress.COMPLETE;
    }

    void release() {
        if (replyValue != null) {
            replyValue.release();
        }
        if (transfer != null) {
            transfer.abandon();
        }
    }
}
