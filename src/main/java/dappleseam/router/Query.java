package dappleseam.router;

import java.util.ArrayList;
import java.util.List;

/** A query accepted by the router, kept until it is answered and its last execution has ended. */
final class Query {
    final QueryId id;
    /** The settings in force when the query was accepted. */
    final RouterSettings settings;
    final ServiceGrade grade;
    final QueryRequest request;
    final List<Execution> executions = new ArrayList<>(3);
    long hash;
    RecentKeys.KeyStats keyStats;
    /** Its key's share of this proxy's recent queries, not counting this one. */
    double keyShare;
    /** The caches of the proxy's own zone are tried first. */
    boolean localFirst;
    /** Weight of the caches skipped on the walk, to spread a hot key. */
    double weightToSkip;
    /** When the client stops waiting. */
    double deadline;
    /** When an answer stops being worth anything. */
    double usefulUntil;
    /** The client waits for less time than a slow answer takes, so its timeout must not reduce any limit. */
    boolean hasShortDeadline;
    int inFlight;
    boolean answered;
    boolean streaming;
    /** Its large value is being passed on to the client: the query may be opened again. */
    boolean isValueArriving;
    /** The last walk of the ring visited a cache whose limit was reached. */
    boolean metFullCache;

    Query(QueryId id, RouterSettings settings, ServiceGrade grade, QueryRequest request) {
        this.id = id;
        this.settings = settings;
        this.grade = grade;
        this.request = request;
    }

    int executionsLeft() {
        return settings.mostExecutions() - executions.size();
    }

    /** Whether the node is used up for this query. A first reset does not count: it concerns the connection, and only this node may hold the key. */
    boolean wasTriedAt(Node node) {
        int resets = 0;
        for (Execution e : executions) {
            if (e.node == node && (!e.reset || ++resets > 1)) {
                return true;
            }
        }
        return false;
    }

    /** The first execution that may have had an effect; null if there is none. */
    Execution firstThatMayHaveRun() {
        for (Execution e : executions) {
            if (!e.neverRan) {
                return e;
            }
        }
        return null;
    }

    /** The node of the first miss; null if there was none. */
    Node firstMissedAt() {
        for (Execution e : executions) {
            if (e.missed) {
                return e.node;
            }
        }
        return null;
    }

    /** Whether an execution is in flight at the origin. */
    boolean isAtOrigin() {
        for (Execution e : executions) {
            if (e.node.isOrigin && !e.ended) {
                return true;
            }
        }
        return false;
    }

    /** One execution of the query at one node. */
    static final class Execution {
        final Node node;
        final double sentAt;
        boolean ended;
        boolean missed;
        boolean neverRan;
        /** The connection broke after the request was written. */
        boolean reset;
        /** In flight for so long that it no longer counts against the limit for all caches. */
        boolean isStuck;
        /** The node was not known to hold the key, so it may have to fetch it. */
        final boolean mayFetch;

        Execution(Node node, double sentAt, boolean mayFetch) {
            this.node = node;
            this.sentAt = sentAt;
            this.mayFetch = mayFetch;
        }

        void end(Outcome outcome) {
            ended = true;
            missed = outcome == Outcome.MISS;
            neverRan = outcome.neverRan;
            reset = outcome == Outcome.RESET;
        }
    }
}
