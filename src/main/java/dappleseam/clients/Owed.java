package dappleseam.clients;

import dappleseam.query.Transfer;
import dappleseam.router.QueryId;
import dappleseam.wire.Chain;
import dappleseam.wire.RespWriter;

/** The pending reply to one command. It is written once all earlier replies on the connection have been written. */
public final class Owed {
    /** Maximum bytes of a large value in the output queue; more is added when the client has taken them. */
    private static final int MOST_PUT_OUT = 64 << 10;

    private final ClientConnection connection;
    /** Exactly one of these three is set once the reply is available. */
    private Chain value;
    private String line;
    private Transfer transfer;
    private boolean headWritten;
    /** Null for a command other than a query. */
    private QueryId query;

    Owed(ClientConnection connection) {
        this.connection = connection;
    }

    void belongsTo(QueryId id) {
        query = id;
    }

    QueryId query() {
        return query;
    }

    boolean isAnswered() {
        return value != null || line != null || transfer != null;
    }

    /** Replies with a value, and takes ownership of it. */
    public void value(Chain whole) {
        if (isAnswered() || connection.isClosed()) {
            whole.release();
            return;
        }
        value = whole;
        connection.flushAnswers();
    }

    /** Replies with a large value that is still being received; it is streamed to the client. */
    public void begun(Transfer onItsWay) {
        if (isAnswered() || connection.isClosed()) {
            onItsWay.abandon();
            return;
        }
        transfer = onItsWay;
        connection.flushAnswers();
    }

    /** Called when more of the streamed value is available, or it has ended. */
    public void more() {
        if (!connection.isClosed()) {
            connection.flushAnswers();
        }
    }

    /** Whether the client is still connected; checked just before more work is done for it. */
    public boolean isClientHere() {
        return connection.isClientHere();
    }

    /** Replies BUSY: the query had no effect and may be retried, after {@code retryAfterMs} if that is positive. */
    public void busy(double comeBackMs) {
        line(comeBackMs > 0 ? "-BUSY " + (long) Math.ceil(comeBackMs) : "-BUSY");
    }

    /** Replies with a single line that starts with its RESP type character. */
    public void line(String signed) {
        if (!isAnswered() && !connection.isClosed()) {
            line = signed;
            connection.flushAnswers();
        }
    }

    /** Writes what is available, up to the queue limit; returns whether the reply is complete. */
    boolean writeTo(Chain out) {
        if (transfer != null) {
            return writePartTo(out);
        }
        if (line != null) {
            RespWriter.line(out, line);
        } else {
            RespWriter.bulkMoved(out, value);
        }
        return true;
    }

    private boolean writePartTo(Chain out) {
        if (!headWritten) {
            headWritten = true;
            out.put("$" + transfer.length + "\r\n");
        }
        transfer.takeTo(out, Math.max(0, MOST_PUT_OUT - out.size()));
        if (!transfer.isDone()) {
            return false;
        }
        out.put("\r\n");
        transfer.delivered();
        return true;
    }

    /** Whether a streamed value failed part-way, so that the rest cannot follow. */
    boolean isBroken() {
        return transfer != null && transfer.isBroken();
    }

    void release() {
        if (value != null) {
            value.release();
        }
        if (transfer != null) {
            transfer.abandon();
        }
    }
}
