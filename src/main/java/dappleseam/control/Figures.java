package dappleseam.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * The proxy's counters and gauges. Only the I/O thread writes them, except for the reload counters, which the SIGHUP thread
 * writes; any thread may read, without locks.
 */
public final class Figures {
    /** Maximum number of service grades with counters; beyond it, grades that the settings no longer name are dropped. */
    private static final int MOST_GRADES = 64;

    /** The result that a query is counted under. */
    public enum End { COMPLETED, REJECTED, FAILED }

    /** The counts of one service grade. */
    private record Ended(AtomicLong completed, AtomicLong rejected, AtomicLong failed) {
        Ended() {
            this(new AtomicLong(), new AtomicLong(), new AtomicLong());
        }
    }

    /** Copied on write: readers see either the old or the new map. */
    private volatile Map<String, Ended> byGrade = Map.of();
    private final AtomicLong executions = new AtomicLong();
    private final AtomicInteger pending = new AtomicInteger();
    private volatile int members;
    private volatile int avoided;
    private final AtomicLong reloads = new AtomicLong();
    private final AtomicLong reloadErrors = new AtomicLong();

    /** Sets the grades of the current settings; counters of grades that existed before continue. */
    public void grades(Collection<String> names) {
        Map<String, Ended> all = new LinkedHashMap<>(byGrade);
        names.forEach(name -> all.computeIfAbsent(name, n -> new Ended()));
        all.keySet().removeIf(name -> all.size() > MOST_GRADES && !names.contains(name));
        byGrade = all;
    }

    /** A query was accepted; {@link #ended} follows. */
    public void taken() {
        set(pending, 1);
    }

    /** A query counted by {@link #taken} has its final answer. */
    public void ended(String grade, End how) {
        set(pending, -1);
        turnedAway(grade, how);
    }

    /** A query was answered at once, without being accepted. */
    public void turnedAway(String grade, End how) {
        Ended counts = byGrade.get(grade);
        if (counts != null) {
            AtomicLong count = switch (how) {
                case COMPLETED -> counts.completed;
                case REJECTED -> counts.rejected;
                case FAILED -> counts.failed;
            };
            count.lazySet(count.get() + 1);
        }
    }

    private static void set(AtomicInteger gauge, int more) {
        gauge.lazySet(gauge.get() + more);
    }

    /** An execution was completely written to a node. */
    public void executed() {
        executions.lazySet(executions.get() + 1);
    }

    /** Sets the gauges: nodes on the list, and those of them that are unavailable. */
    public void list(int listed, int avoidedNow) {
        members = listed;
        avoided = avoidedNow;
    }

    /** Counts a configuration reload, applied or rejected. */
    public void reloaded(boolean taken) {
        (taken ? reloads : reloadErrors).incrementAndGet();
    }

    /** All metrics in the Prometheus text format. */
    public String text() {
        StringBuilder text = new StringBuilder();
        perGrade(text, "completed_total", Ended::completed);
        perGrade(text, "rejected_total", Ended::rejected);
        perGrade(text, "failed_total", Ended::failed);
        line(text, "upstream_requests_total", "counter", executions.get());
        line(text, "pending", "gauge", pending.get());
        line(text, "members", "gauge", members);
        line(text, "members_unavailable", "gauge", avoided);
        line(text, "config_reloads_total", "counter", reloads.get());
        line(text, "config_reload_errors_total", "counter", reloadErrors.get());
        return text.toString();
    }

    private void perGrade(StringBuilder text, String name, Function<Ended, AtomicLong> count) {
        text.append("# TYPE app_").append(name).append(" counter\n");
        byGrade.forEach((grade, counts) -> text.append("app_").append(name).append("{lane=\"")
                .append(grade.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")).append("\"} ")
                .append(count.apply(counts).get()).append('\n'));
    }

    private static void line(StringBuilder text, String name, String type, long value) {
        text.append("# TYPE app_").append(name).append(' ').append(type).append("\napp_").append(name).append(' ')
                .append(value).append('\n');
    }
}
