package dappleseam.router;

import java.util.List;

/**
 * What one deployment allows and asks for, as far as the router reads it. {@code proxies}: the whole divided by this one's share of it; {@code originModel} is -1 where the
 * nodes fetch by themselves; {@code askEveryMs} is 0 where the list is pushed; a cold node falls that is sent {@code fallMultiple} times what it can take; the prices are points
 * of service for a hundred connections held open at each cache, and for a new one with each query.
 */
public record RouterSettings(
        List<ServiceGrade> grades,
        double proxyCount,
        int originModel,
        boolean scaleIsStable,
        boolean scaleMoves,
        int zone,
        double crossPrice,
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
        double handshakePrice) {
    /** The same where this proxy may take that share of the whole: 1 over {@code proxies}. */
    public RouterSettings withProxyCount(double proxies) {
        return new RouterSettings(grades, proxies, originModel, scaleIsStable, scaleMoves, zone, crossPrice, tickMs, mostExecutions, parallelExecutions, mayCancel,
                maxRetryAfterMs, askEveryMs, coldFrom, warmAfterMs, fallMultiple, connectionPenalty, handshakePrice);
    }
}
