package dappleseam.clients;

import dappleseam.query.Transfer;
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
    private boolean headerWritten;
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
        connection.flushReplies();
    }

    /** Called when more of the streamed value is available, or it has ended. */
    public void transferAdvanced() {
        if (!connection.isClosed()) {
            connection.flushReplies();
        }
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

    /** Replies with a single line that starts with its RESP type character. */
    public void replyLine(String typedLine) {
        if (!isAnswered() && !connection.isClosed()) {
            replyLine = typedLine;
            connection.flushReplies();
        }
    }

    /** The large value of which nothing has been written, and which is still arriving; null if there is none. */
    Transfer unstartedTransfer() {
        return transfer != null && !headerWritten && transfer.isArriving() ? transfer : null;
    }

    boolean isLarge() {
        return transfer != null;
    }

    /** Whether a part of a large value has been written that is still arriving, and may break off. */
    boolean isPassingOn() {
        return headerWritten && transfer.isArriving();
    }

    double leftMs() {
        return leftMs;
    }

    /** Writes what is available, up to the queue limit. A value that broke off before any of it was written becomes an error. */
    Progress writeTo(BufferChain out) {
        if (transfer != null && transfer.isFailed() && !headerWritten) {
            transfer.abandon();
            transfer = null;
            replyLine = ABORTED_REPLY;
        }
        if (transfer != null) {
            return writeTransferTo(out);
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
        if (!headerWritten) {
            headerWritten = true;
            out.put("$" + transfer.length + "\r\n");
        }
        int most = connection.areBuffersScarce() ? MAX_QUEUED_BYTES_SCARCE : MAX_QUEUED_BYTES;
        transfer.moveTo(out, Math.max(0, most - out.size()));
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
