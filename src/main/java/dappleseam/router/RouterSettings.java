package dappleseam.router;

import java.util.List;

/**
 * The settings of a deployment that the router reads.
 *
 * <ul>
 * <li>{@code proxyCount} is the fleet's traffic divided by this proxy's share of it.
 * <li>{@code originModel} is the model of the origin's list entry (cache-aside), or -1 where the nodes fetch by themselves (read-through).
 * <li>{@code staticWeights} and {@code dynamicWeights} tell whether the weights in the list are fixed or fall with load; if neither is set,
 *     all nodes count alike.
 * <li>{@code askEveryMs} is the interval of calls to the list service, or 0 where the list is pushed.
 * <li>A cold node fails if it is sent {@code fallMultiple} times what it can take; its capacity grows from {@code coldFrom} to 1 in
 *     {@code warmAfterMs}.
 * <li>The penalties are points of service: {@code crossZonePenalty} for a query served in another zone, {@code connectionPenalty} for a
 *     hundred connections held open at each cache, {@code handshakePenalty} for a new connection with each query.
 * </ul>
 */
public record RouterSettings(
        List<ServiceGrade> grades,
        double proxyCount,
        int originModel,
        boolean staticWeights,
        boolean dynamicWeights,
        int zone,
        double crossZonePenalty,
        double tickMs,
        int mostExecutions,
        boolean parallelExecutions,
        boolean mayCancel,
        double maxRetryAfterMs,
        double askEveryMs,
        double coldFrom,
        double warmAfterMs,
        double fallMultiple,
        double connectionPenalty,
        double handshakePenalty) {
    /** A copy for a proxy whose share of the fleet is 1 / {@code proxyCount}. */
    public RouterSettings withProxyCount(double proxyCount) {
        return new RouterSettings(grades, proxyCount, originModel, staticWeights, dynamicWeights, zone, crossZonePenalty, tickMs,
                mostExecutions, parallelExecutions, mayCancel, maxRetryAfterMs, askEveryMs, coldFrom, warmAfterMs, fallMultiple, connectionPenalty, handshakePenalty);
    }
}
