package dappleseam.proxy;

import dappleseam.router.RouterSettings;
import dappleseam.router.ServiceGrade;
import java.util.ArrayDeque;

/**
 * How long after SIGTERM the platform kills at the earliest: the longest statement timeout, which counts as 3 s at most, and 0.7 s more. Where
 * settings have changed a moment ago the platform may still go by those before. For any thread.
 */
final class KillDelay {
    private static final double LONGEST_WAIT_MS = 3000;
    private static final double KILL_MORE_MS = 700;
    /** Time in ms for which settings that were replaced may still be gone by: clients use a new grade 1.2 s after SIGHUP. */
    private static final double SETTLED_MS = 1200;

    private record Replaced(double delayMs, double atMs) {}

    private final ArrayDeque<Replaced> before = new ArrayDeque<>();
    private double delayMs;

    KillDelay(RouterSettings deployment) {
        delayMs = delayMs(deployment);
    }

    static double delayMs(RouterSettings deployment) {
        double longest = deployment.grades().stream().mapToDouble(ServiceGrade::timeoutMs).max().orElseThrow();
        return Math.min(LONGEST_WAIT_MS, longest) + KILL_MORE_MS;
    }

    synchronized void changed(RouterSettings deployment, double nowMs) {
        forget(nowMs);
        before.add(new Replaced(delayMs, nowMs));
        delayMs = delayMs(deployment);
    }

    /** For a SIGTERM that comes now. */
    synchronized double earliestMs(double nowMs) {
        forget(nowMs);
        return before.stream().mapToDouble(Replaced::delayMs).reduce(delayMs, Math::min);
    }

    private void forget(double nowMs) {
        before.removeIf(replaced -> replaced.atMs < nowMs - SETTLED_MS);
    }
}
