package dappleseam.diagnostics;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** Counts events by a reason of a fixed kind. One thread writes; any thread may read, without locks. */
public final class ReasonCounter<R extends Enum<R>> {
    private final R[] reasons;
    private final AtomicLongArray counts;

    /** Counts for each of the constants of {@code kind}. */
    public ReasonCounter(Class<R> kind) {
        reasons = kind.getEnumConstants();
        counts = new AtomicLongArray(reasons.length);
    }

    /** Counts one event. */
    public void count(R reason) {
        counts.lazySet(reason.ordinal(), counts.get(reason.ordinal()) + 1);
    }

    /** The number of events with this reason. */
    public long value(R reason) {
        return counts.get(reason.ordinal());
    }

    /** Appends the counter in the Prometheus text format, one line for each reason. */
    public void appendTo(StringBuilder text, String name) {
        text.append("# TYPE ").append(name).append(" counter\n");
        for (R reason : reasons) {
            text.append(name).append("{reason=\"").append(reason.name().toLowerCase(Locale.ROOT)).append("\"} ").append(value(reason)).append('\n');
        }
    }
}
