package dappleseam.clients;

import dappleseam.query.Transfer;
import dappleseam.router.QueryId;
import dappleseam.wire.BufferChain;
import dappleseam.wire.RespWriter;

/** The answer that one command is owed; it goes out once those before it on the connection have. */
public final class PendingReply {
    /** Bytes of a long value put out at once; the next when the client has taken them. */
    private static final int MOST_PUT_OUT = 64 << 10;

    private final ClientConnection connection;
    /** One of the three, once the answer is there. */
    private BufferChain replyValue;
    private String replyLine;
    private Transfer transfer;
    private boolean headWritten;
    /** Null for a command that is no query. */
    private QueryId query;

    PendingReply(ClientConnection connection) {
        this.connection = connection;
    }

    void belongsTo(QueryId id) {
        query = id;
    }

    QueryId query() {
        return query;
    }

    boolean isAnswered() {
        return replyValue != null || replyLine != null || transfer != null;
    }

    /** Answers with the value, and takes it over. */
    public void replyValue(BufferChain whole) {
        if (isAnswered() || connection.isClosed()) {
            whole.release();
            return;
        }
        replyValue = whole;
        connection.flushAnswers();
    }

    /** Answers with a long value as it comes. */
    public void replyTransfer(Transfer onItsWay) {
        if (isAnswered() || connection.isClosed()) {
            onItsWay.abandon();
            return;
        }
        transfer = onItsWay;
        connection.flushAnswers();
    }

    /** There is more of the long value that it is answered with. */
    public void transferAdvanced() {
        if (!connection.isClosed()) {
            connection.flushAnswers();
        }
    }

    /** Whether its client is still there: asked just before something more is done for it. */
    public boolean isClientConnected() {
        return connection.isClientHere();
    }

    /** Trying again is harmless, after so many ms where that is over 0. */
    public void replyBusy(double comeBackMs) {
        replyLine(comeBackMs > 0 ? "-BUSY " + (long) Math.ceil(comeBackMs) : "-BUSY");
    }

    /** An answer of one line, with its sign in front. */
    public void replyLine(String signed) {
        if (!isAnswered() && !connection.isClosed()) {
            replyLine = signed;
            connection.flushAnswers();
        }
    }

    /** Puts out what there is, within bounds; says whether that was all of it. */
    boolean writeTo(BufferChain out) {
        if (transfer != null) {
            return writePartTo(out);
        }
        if (replyLine != null) {
            RespWriter.line(out, replyLine);
        } else {
            RespWriter.bulkMoved(out, replyValue);
        }
        return true;
    }

    private boolean writePartTo(BufferChain out) {
        if (!headWritten) {
            headWritten = true;
            out.put("$" + transfer.length + "\r\n");
        }
        transfer.moveTo(out, Math.max(0, MOST_PUT_OUT - out.size()));
        if (!transfer.isDone()) {
            return false;
        }
        out.put("\r\n");
        transfer.delivered();
        return true;
    }

    /** What has gone out of a long value cannot be followed by the rest. */
    boolean isBroken() {
        return transfer != null && transfer.isFailed();
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
