package dappleseam.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The periods in which a process was stalled, or had low local health as a consequence. A fault injected during such a period proves nothing
 * about the process's failure detection.
 */
public final class Disturbances {
    private record Span(double fromMs, double toMs) {}

    private final double doubtMs;
    private final List<Span> spans = new ArrayList<>();

    /** {@code graceMs}: for how long a process has low local health after a stall. */
    public Disturbances(double doubtMs) {
        this.doubtMs = doubtMs;
    }

    public void stoodStill(double untilMs, double forMs) {
        spans.add(new Span(untilMs - forMs, untilMs + doubtMs));
    }

    /** For how much of the given period the process was stalled or had low local health; overlapping stalls count once. */
    public double within(double fromMs, double toMs) {
        double disturbed = 0;
        double counted = fromMs;
        for (Span span : spans.stream().sorted(Comparator.comparingDouble(Span::fromMs)).toList()) {
            double from = Math.max(counted, span.fromMs);
            double to = Math.min(toMs, span.toMs);
            if (to > from) {
                disturbed += to - from;
                counted = to;
            }
        }
        return disturbed;
    }
}
