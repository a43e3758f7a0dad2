package dappleseam.control;

import dappleseam.diagnostics.CloseReason;
import dappleseam.diagnostics.ReasonCounter;
import dappleseam.diagnostics.RefusalReason;
import dappleseam.router.Outcome;
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
public final class Metrics {
    /** Maximum number of service grades with counters; beyond it, grades that the settings no longer name are dropped. */
    private static final int MAX_GRADES = 64;

    /** The result that a query is counted under. */
    public enum QueryResult { COMPLETED, REJECTED, FAILED }

    /** The counts of one service grade. */
    private record GradeCounters(AtomicLong completed, AtomicLong rejected, AtomicLong failed) {
        GradeCounters() {
            this(new AtomicLong(), new AtomicLong(), new AtomicLong());
        }
    }

    /** Copied on write: readers see either the old or the new map. */
    private volatile Map<String, GradeCounters> byGrade = Map.of();
    private final AtomicLong executions = new AtomicLong();
    private final AtomicInteger pending = new AtomicInteger();
    private volatile int listedNodes;
    private volatile int unavailableNodes;
    private final AtomicLong reloads = new AtomicLong();
    private final AtomicLong reloadErrors = new AtomicLong();
    private final AtomicLong hedges = new AtomicLong();
    private final ReasonCounter<CloseReason> closes = new ReasonCounter<>(CloseReason.class);
    private final ReasonCounter<RefusalReason> refusals = new ReasonCounter<>(RefusalReason.class);
    private final ReasonCounter<Outcome> retries = new ReasonCounter<>(Outcome.class);

    /** Sets the grades of the current settings; counters of grades that existed before continue. */
    public void setGrades(Collection<String> names) {
        Map<String, GradeCounters> all = new LinkedHashMap<>(byGrade);
        names.forEach(name -> all.computeIfAbsent(name, n -> new GradeCounters()));
        all.keySet().removeIf(name -> all.size() > MAX_GRADES && !names.contains(name));
        byGrade = all;
    }

    /** A query was accepted; {@link #queryEnded} follows. */
    public void queryAccepted() {
        add(pending, 1);
    }

    /** A query counted by {@link #queryAccepted} has its final answer. */
    public void queryEnded(String grade, QueryResult result) {
        add(pending, -1);
        queryRefused(grade, result);
    }

    /** A query was answered at once, without being accepted. */
    public void queryRefused(String grade, QueryResult result) {
        GradeCounters counts = byGrade.get(grade);
        if (counts != null) {
            AtomicLong count = switch (result) {
                case COMPLETED -> counts.completed;
                case REJECTED -> counts.rejected;
                case FAILED -> counts.failed;
            };
            count.lazySet(count.get() + 1);
        }
    }

    private static void add(AtomicInteger gauge, int delta) {
        gauge.lazySet(gauge.get() + delta);
    }

    /** An execution was completely written to a node. */
    public void executionSent() {
        executions.lazySet(executions.get() + 1);
    }

    /** Closed client connections by reason. */
    public ReasonCounter<CloseReason> closes() {
        return closes;
    }

    /** Queries answered without an execution, by reason. */
    public ReasonCounter<RefusalReason> refusals() {
        return refusals;
    }

    /** Counts a further execution of a query whose last one ended with that outcome; null if that one is still in flight. */
    public void retried(Outcome last) {
        if (last == null) {
            hedges.lazySet(hedges.get() + 1);
        } else {
            retries.count(last);
        }
    }

    /** Sets the gauges: nodes on the list, and those of them that are unavailable. */
    public void setNodeCounts(int listed, int unavailable) {
        listedNodes = listed;
        unavailableNodes = unavailable;
    }

    /** Counts a configuration reload, applied or rejected. */
    public void configReloaded(boolean applied) {
        (applied ? reloads : reloadErrors).incrementAndGet();
    }

    /** All metrics in the Prometheus text format. */
    public String prometheusText() {
        StringBuilder text = new StringBuilder();
        appendPerGrade(text, "completed_total", GradeCounters::completed);
        appendPerGrade(text, "rejected_total", GradeCounters::rejected);
        appendPerGrade(text, "failed_total", GradeCounters::failed);
        appendMetric(text, "upstream_requests_total", "counter", executions.get());
        appendMetric(text, "pending", "gauge", pending.get());
        appendMetric(text, "members", "gauge", listedNodes);
        appendMetric(text, "members_unavailable", "gauge", unavailableNodes);
        appendMetric(text, "config_reloads_total", "counter", reloads.get());
        appendMetric(text, "config_reload_errors_total", "counter", reloadErrors.get());
        appendMetric(text, "hedges_total", "counter", hedges.get());
        retries.appendTo(text, "app_retries_total");
        refusals.appendTo(text, "app_refusals_total");
        closes.appendTo(text, "app_client_closes_total");
        return text.toString();
    }

    private void appendPerGrade(StringBuilder text, String name, Function<GradeCounters, AtomicLong> count) {
        text.append("# TYPE app_").append(name).append(" counter\n");
        byGrade.forEach((grade, counts) -> text.append("app_").append(name).append("{lane=\"")
                .append(grade.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")).append("\"} ")
                .append(count.apply(counts).get()).append('\n'));
    }

    private static void appendMetric(StringBuilder text, String name, String type, long value) {
        text.append("# TYPE app_").append(name).append(' ').append(type).append("\napp_").append(name).append(' ')
                .append(value).append('\n');
    }
}
