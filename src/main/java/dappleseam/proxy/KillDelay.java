package dappleseam.proxy;

import dappleseam.router.RouterSettings;
import dappleseam.router.ServiceGrade;
import java.util.ArrayDeque;

/**
 * The earliest time after SIGTERM at which the platform kills the process: the longest statement timeout, at most 3 s, plus 0.7 s. After a change of
 * settings the platform may use the previous ones for a moment. Thread-safe.
 */
final class KillDelay {
    private static final double MAX_TIMEOUT_MS = 3000;
    private static final double KILL_MARGIN_MS = 700;
    /** Time in ms for which replaced settings may still be in use: clients use a new grade 1.2 s after SIGHUP. */
    private static final double SETTLE_MS = 1200;

    /** A kill delay, and when it was replaced. */
    private record Replaced(double delayMs, double atMs) {}

    private final ArrayDeque<Replaced> recent = new ArrayDeque<>();
    private double delayMs;

    KillDelay(RouterSettings settings) {
        delayMs = delayMs(settings);
    }

    /** The kill delay in ms by these settings alone. */
    static double delayMs(RouterSettings settings) {
        double longest = settings.grades().stream().mapToDouble(ServiceGrade::timeoutMs).max().orElseThrow();
        return Math.min(MAX_TIMEOUT_MS, longest) + KILL_MARGIN_MS;
    }

    /** Applies new settings; the previous delay still counts for a while. */
    synchronized void update(RouterSettings settings, double nowMs) {
        dropSettled(nowMs);
        recent.add(new Replaced(delayMs, nowMs));
        delayMs = delayMs(settings);
    }

    /** The earliest kill in ms after a SIGTERM that comes now. */
    synchronized double earliestMs(double nowMs) {
        dropSettled(nowMs);
        return recent.stream().mapToDouble(Replaced::delayMs).reduce(delayMs, Math::min);
    }

    private void dropSettled(double nowMs) {
        recent.removeIf(replaced -> replaced.atMs < nowMs - SETTLE_MS);
    }
}
