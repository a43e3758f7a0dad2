package dappleseam.proxy;

import dappleseam.diagnostics.ThreadTimes;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Logs when the I/O thread stalled, and why: the time it spent working and waiting for a processor. For the remaining time it was blocked, or its
 * process was stopped. On the I/O thread only.
 */
final class EventLoopMonitor {
    private static final Logger LOG = System.getLogger(EventLoopMonitor.class.getName());
    /** Lateness in ms from which a stall is logged. */
    static final double STALL_MS = 250;
    /** Interval in ms between samples of the thread's times while nothing is late. */
    private static final double SAMPLE_MS = 1000;

    private double sampledAtMs = Double.NaN;
    private ThreadTimes sampled;

    /** Called when a wake-up that was due at {@code dueMs} is handled at {@code nowMs}. */
    void wakeUpHandled(double dueMs, double nowMs) {
        boolean isStalled = nowMs > dueMs + STALL_MS;
        if (!isStalled && nowMs < sampledAtMs + SAMPLE_MS) {
            return;
        }
        ThreadTimes times = ThreadTimes.ofCurrentThread();
        if (isStalled && sampled != null) {
            ThreadTimes spent = times.since(sampled);
            LOG.log(Level.WARNING, "the I/O thread is {0} ms late: of the last {1} ms it worked {2} and waited {3} for a processor", Math.round(nowMs - dueMs),
                    Math.round(nowMs - sampledAtMs), Math.round(spent.ranMs()), Math.round(spent.waitedMs()));
        }
        sampled = times;
        sampledAtMs = nowMs;
    }
}
