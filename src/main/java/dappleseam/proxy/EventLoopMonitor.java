package dappleseam.proxy;

import dappleseam.diagnostics.ThreadTimes;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Logs when the I/O thread was held up, and what by: it worked, it waited for a processor, or, in the time that is left, it was blocked or its process was stopped. On the I/O thread only.
 */
final class EventLoopMonitor {
    private static final Logger LOG = System.getLogger(EventLoopMonitor.class.getName());
    /** Lateness in ms from which it is logged. */
    static final double HELD_UP_MS = 250;
    /** Time in ms between two readings of the thread's times while nothing is late. */
    private static final double SAMPLE_MS = 1000;

    private double sampledAtMs = Double.NaN;
    private ThreadTimes sampled;

    /** An alarm that was set for {@code dueMs} is handled now. */
    void fired(double dueMs, double nowMs) {
        boolean isHeldUp = nowMs > dueMs + HELD_UP_MS;
        if (!isHeldUp && nowMs < sampledAtMs + SAMPLE_MS) {
            return;
        }
        ThreadTimes times = ThreadTimes.ofCurrentThread();
        if (isHeldUp && sampled != null) {
            ThreadTimes spent = times.since(sampled);
            LOG.log(Level.WARNING, "the I/O thread is {0} ms late: of the last {1} ms it worked {2} and waited {3} for a processor", Math.round(nowMs - dueMs),
                    Math.round(nowMs - sampledAtMs), Math.round(spent.ranMs()), Math.round(spent.waitedMs()));
        }
        sampled = times;
        sampledAtMs = nowMs;
    }
}
