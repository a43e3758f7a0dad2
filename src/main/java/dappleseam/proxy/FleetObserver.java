package dappleseam.proxy;

import dappleseam.router.NodeHealth;
import dappleseam.router.NodeId;
import java.util.List;
import java.util.Map;

/** Receives what a proxy observes on its I/O thread, for its fleet. Absent if the proxy is in no fleet. */
interface FleetObserver {
    /** A query was accepted. */
    void queryAccepted();

    /** A cache gave any answer, {@code tookMs} after the execution was sent. */
    void cacheAnswered(NodeId node, double nowMs, double tookMs);

    /** A cache did not answer within {@code tookMs}, or could not be connected to ({@link Double#POSITIVE_INFINITY}). */
    void unanswered(NodeId node, double sentAtMs, double nowMs, double tookMs);

    /** A request to the list service was answered or failed. */
    void listRequestEnded(double nowMs, boolean answered);

    /** The delay in ms before a failed list request is retried; {@code defaultMs} is the delay without a fleet. */
    double listRetryDelayMs(double nowMs, double defaultMs);

    /** Called periodically with the router's node health, and all ready caches of the list with their start times. */
    void update(double nowMs, List<NodeHealth> nodeHealth, Map<NodeId, Double> startedAtMs);

    /** What the fleet changes in the proxy, on the I/O thread. */
    interface ProxyCallbacks {
        /** The number of proxies by the settings; shared limits are divided by it. */
        double configuredProxyCount();

        /** Sets the number that shared limits are divided by from now on (the total over this proxy's share), and its position among all proxies, NaN for no change. */
        void shareChanged(double proxyCount, double position);

        /** Requests the list after that delay, unless it is being watched by then. */
        void requestListIn(double delayMs);
    }
}
