package dappleseam.proxy;

import dappleseam.router.NodeHealth;
import dappleseam.router.NodeId;
import java.util.List;
import java.util.Map;

/** Looks over a proxy's shoulder, on its I/O thread, for its fleet; there is none where it is in none. */
interface Lookout {
    /** A query came. */
    void taken();

    /** A cache answered, whatever, after so many ms. */
    void heard(NodeId node, double nowMs, double tookMs);

    /** One did not, for so many ms, or could not be connected to ({@link Double#POSITIVE_INFINITY}). */
    void unanswered(NodeId node, double sentAtMs, double nowMs, double tookMs);

    /** A call for the list was answered, or was not. */
    void listCalled(double nowMs, boolean answered);

    /** In how many ms to call again after one that failed; {@code ownMs}: without a fleet. */
    double listAgainMs(double nowMs, double ownMs);

    /** From time to time: what the router has learnt, and all caches in service by the list with their starts. */
    void look(double nowMs, List<NodeHealth> learnt, Map<NodeId, Double> startedAtMs);

    /** What the proxy does by what it is told, on the I/O thread. */
    interface Whole {
        /** What limits are divided by without a fleet. */
        double proxies();

        /** What they are divided by from now on: the whole over this proxy's share; and where it stands among all, NaN for no change. */
        void stands(double proxies, double place);

        /** To call for the list in so many ms, unless that is followed. */
        void callIn(double ms);
    }
}
