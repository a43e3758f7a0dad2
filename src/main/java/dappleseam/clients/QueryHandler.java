package dappleseam.clients;

import dappleseam.diagnostics.RefusalReason;
import dappleseam.query.Command;
import dappleseam.router.QueryId;

/** Receives the queries that clients send. */
public interface QueryHandler {
    /**
     * Handles a query that may have waited up to {@code waitedMs} before it was read, and completes {@code reply} now or later. Returns the
     * query's id, or null if it was refused and {@code reply} is already completed.
     */
    QueryId submit(Command command, PendingReply reply, double waitedMs);

    /** How long in ms the client of a query with these facts waits for the answer; -1 if it cannot be told. */
    double clientTimeoutMs(String facts);

    /** Rejects a query without handling it. */
    void reject(Command command, PendingReply reply, RefusalReason reason);

    /**
     * Has another node give the value of a query whose large value broke off after a part of it was passed on. Returns whether the query is open again, so
     * that its reply follows; its deadline stays.
     */
    boolean resumeValue(QueryId id);

    /** Called when the client of an unanswered query has disconnected. */
    void clientLeft(QueryId id);
}
