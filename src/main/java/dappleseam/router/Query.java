package dappleseam.router;

import java.util.ArrayList;
import java.util.List;

/** A query that the router has taken, until it is answered and its last execution has ended. */
final class Query {
    final QueryId id;
    /** What the deployment allowed when the query was taken. */
    final RouterSettings site;
    final ServiceGrade grade;
    final QueryRequest asking;
    final List<Execution> execs = new ArrayList<>(3);
    long hash;
    RecentKeys.Asked asked;
    /** Its key's share of this proxy's latest queries, without itself. */
    double keyShare;
    /** Its key is looked for in the own location first. */
    boolean nearFirst;
    /** Scale of the successors passed over for a hot key. */
    double passOver;
    double quitAt;
    double usefulUntil;
    /** Guards all limits against clients that wait for less than a slow answer takes: their time-outs tell nothing. */
    boolean impatient;
    int out;
    boolean answered;
    boolean streaming;
    /** The last walk of the ring met a cache whose limit was reached. */
    boolean crowded;

    Query(QueryId id, RouterSettings site, ServiceGrade grade, QueryRequest asking) {
        this.id = id;
        this.site = site;
        this.grade = grade;
        this.asking = asking;
    }

    int execsLeft() {
        return site.mostExecutions() - execs.size();
    }

    /** Once more after a reset: that tells of the connection, and the key is likely to be held there alone. */
    boolean triedAt(Node node) {
        int resets = 0;
        for (Execution e : execs) {
            if (e.node == node && (!e.reset || ++resets > 1)) {
                return true;
            }
        }
        return false;
    }

    /** The first execution not known to have had no effect; null where there is none. */
    Execution firstThatMayHaveRun() {
        for (Execution e : execs) {
            if (!e.neverRan) {
                return e;
            }
        }
        return null;
    }

    Node firstMissedAt() {
        for (Execution e : execs) {
            if (e.missed) {
                return e.node;
            }
        }
        return null;
    }

    boolean atOrigin() {
        for (Execution e : execs) {
            if (e.node.isOrigin && !e.ended) {
                return true;
            }
        }
        return false;
    }

    static final class Execution {
        final Node node;
        final double sentAt;
        boolean ended;
        boolean missed;
        boolean neverRan;
        /** Its connection broke once it was written. */
        boolean reset;
        /** Out for so long that it no longer counts among the fleet's. */
        boolean pinned;
        /** The key was not known to be held there. */
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
