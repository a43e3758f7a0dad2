package dappleseam.clients;

import dappleseam.query.Command;
import dappleseam.router.QueryId;

/** Who takes the clients' queries. */
public interface QueryHandler {
    /**
     * Takes a query that may have waited for so many ms to be read, and answers it through {@code owed}, now or later; null where it was
     * turned away.
     */
    QueryId submit(Command command, PendingReply owed, double waitedMs);

    /** Rejects a query without taking it: whether its client is still there cannot be known. */
    void reject(Command command, PendingReply owed);

    void clientLeft(QueryId id);
}
