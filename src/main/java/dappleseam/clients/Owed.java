package dappleseam.clients;

import dappleseam.router.QueryId;
import dappleseam.wire.Chain;
import dappleseam.wire.RespWriter;

/** The answer that one command is owed; it goes out once those before it on the connection have. */
public final class Owed {
    private final ClientConnection connection;
    /** The answer in full; null until it is there. */
    private Chain answer;
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

    Chain answer() {
        return answer;
    }

    public void value(Chain value) {
        Chain out = connection.newAnswer();
        RespWriter.bulk(out, value);
        answered(out);
    }

    /** Trying again is harmless, after so many ms where that is over 0. */
    public void busy(double comeBackMs) {
        line(comeBackMs > 0 ? "-BUSY " + (long) Math.ceil(comeBackMs) : "-BUSY");
    }

    /** An answer of one line, with its sign in front. */
    public void line(String signed) {
        Chain out = connection.newAnswer();
        RespWriter.line(out, signed);
        answered(out);
    }

    private void answered(Chain whole) {
        if (answer != null || connection.isClosed()) {
            whole.release();
            return;
        }
        answer = whole;
        connection.flushAnswers();
    }
}
