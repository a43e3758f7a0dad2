package dappleseam.clients;

import dappleseam.router.QueryId;
import dappleseam.wire.Chain;
import dappleseam.wire.RespWriter;

/** The answer that one command is owed; it goes out once those before it on the connection have. */
public final class Owed {
    private final ClientConnection connection;
    /** One of the two, once the answer is there. */
    private Chain value;
    private String line;
    /** Null for a command that is no query. */
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
        return value != null || line != null;
    }

    /** Answers with the value, and takes it over. */
    public void value(Chain whole) {
        if (isAnswered() || connection.isClosed()) {
            whole.release();
            return;
        }
        value = whole;
        connection.flushAnswers();
    }

    /** Trying again is harmless, after so many ms where that is over 0. */
    public void busy(double comeBackMs) {
        line(comeBackMs > 0 ? "-BUSY " + (long) Math.ceil(comeBackMs) : "-BUSY");
    }

    /** An answer of one line, with its sign in front. */
    public void line(String signed) {
        if (!isAnswered() && !connection.isClosed()) {
            line = signed;
            connection.flushAnswers();
        }
    }

    void writeTo(Chain out) {
        if (line != null) {
            RespWriter.line(out, line);
        } else {
            RespWriter.bulkMoved(out, value);
        }
    }

    void release() {
        if (value != null) {
            value.release();
        }
    }
}
