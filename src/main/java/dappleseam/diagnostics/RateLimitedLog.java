package dappleseam.diagnostics;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Logs at most one line in an interval, with the number of lines left out since the last one. For one thread. */
public final class RateLimitedLog {
    private final Logger logger;
    private final double intervalMs;
    private double loggedAtMs = Double.NEGATIVE_INFINITY;
    private long omitted;

    public RateLimitedLog(Logger logger, double intervalMs) {
        this.logger = logger;
        this.intervalMs = intervalMs;
    }

    /** Logs a warning, unless one was logged within the interval before {@code nowMs}. */
    public void warn(double nowMs, String text) {
        if (nowMs < loggedAtMs + intervalMs) {
            omitted++;
            return;
        }
        logger.log(Level.WARNING, omitted == 0 ? text : text + " (and " + omitted + " such lines before)");
        loggedAtMs = nowMs;
        omitted = 0;
    }
}
