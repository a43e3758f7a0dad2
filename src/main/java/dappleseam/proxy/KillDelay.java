package dappleseam.proxy;

import dappleseam.router.Deployment;
import dappleseam.router.ServiceGrade;
import java.util.ArrayDeque;

/**
 * The earliest time after SIGTERM at which the platform kills the process: the longest statement timeout, at most 3 s, plus 0.7 s. After a change of
 * settings the platform may use the previous ones for a moment. Thread-safe.
 */
final class KillDelay {
    private static final double LONGEST_WAIT_MS = 3000;
    private static final double KILL_MORE_MS = 700;
    /** Time in ms for which replaced settings may still be in use: clients use a new grade 1.2 s after SIGHUP. */
    private static final double SETTLED_MS = 1200;

    /** A kill delay, and when it was replaced. */
    private record Replaced(double delayMs, double atMs) {}

    private final ArrayDeque<Replaced> before = new ArrayDeque<>();
    private double delayMs;

    KillDelay(Deployment deployment) {
        delayMs = delayMs(deployment);
    }

    /** The kill delay in ms by these settings alone. */
    static double delayMs(Deployment deployment) {
        double longest = deployment.grades().stream().mapToDouble(ServiceGrade::timeoutMs).max().orElseThrow();
        return Math.min(LONGEST_WAIT_MS, longest) + KILL_MORE_MS;
    }

    /** Applies new settings; the previous delay still counts for a while. */
    synchronized void changed(Deployment deployment, double nowMs) {
        forget(nowMs);
        before.add(new Replaced(delayMs, nowMs));
        delayMs = delayMs(deployment);
    }

    /** The earliest kill in ms after a SIGTERM that comes now. */
    synchronized double earliestMs(double nowMs) {
        forget(nowMs);
        return before.stream().mapToDouble(Replaced::delayMs).reduce(delayMs, Math::min);
    }

    private void forget(double nowMs) {
        before.removeIf(replaced -> replaced.atMs < nowMs - SETTLED_MS);
    }
}
