package dappleseam.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The times in which a process was not run, or doubted itself because of that: what is done to it meanwhile shows nothing. */
public final class StallPeriods {
    private record Span(double fromMs, double toMs) {}

    private final double doubtMs;
    private final List<Span> spans = new ArrayList<>();

    /** {@code doubtMs}: for how long a process doubts itself after it stood still. */
    public StallPeriods(double doubtMs) {
        this.doubtMs = doubtMs;
    }

    public void addStall(double untilMs, double forMs) {
        spans.add(new Span(untilMs - forMs, untilMs + doubtMs));
    }

    /** How much of that time was disturbed. */
    public double overlapMs(double fromMs, double toMs) {
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
