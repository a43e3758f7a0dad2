package dappleseam.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The periods in which a process was stalled, or had low local health as a consequence. A fault injected during such a period proves nothing
 * about the process's failure detection.
 */
public final class StallPeriods {
    private record Span(double fromMs, double toMs) {}

    private final double graceMs;
    private final List<Span> spans = new ArrayList<>();

    /** {@code graceMs}: for how long a process has low local health after a stall. */
    public StallPeriods(double graceMs) {
        this.graceMs = graceMs;
    }

    public void addStall(double untilMs, double durationMs) {
        spans.add(new Span(untilMs - durationMs, untilMs + graceMs));
    }

    /** For how much of the given period the process was stalled or had low local health; overlapping stalls count once. */
    public double overlapMs(double fromMs, double toMs) {
        double overlap = 0;
        double countedUntil = fromMs;
        for (Span span : spans.stream().sorted(Comparator.comparingDouble(Span::fromMs)).toList()) {
            double from = Math.max(countedUntil, span.fromMs);
            double to = Math.min(toMs, span.toMs);
            if (to > from) {
                overlap += to - from;
                countedUntil = to;
            }
        }
        return overlap;
    }
}
