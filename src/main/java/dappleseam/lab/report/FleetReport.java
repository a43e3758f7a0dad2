package dappleseam.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.fault.DatagramFaultInjector;
import dappleseam.lab.fleet.LeaseChecker;
import dappleseam.lab.fleet.ViewChange;
import dappleseam.lab.fleet.GroundTruth;
import dappleseam.lab.fleet.ViewChecker;
import dappleseam.lab.scenario.FleetScenario;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Incident;
import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** The report of a run of many proxies: their views, leases and store compared with what was done to them, in addition to the report of any run. */
public final class FleetReport implements RunReport {
    private static final double MS_PER_S = 1000;
    private static final double SAMPLE_MS = 500;
    private static final int WIDTH = 1100;
    private static final int HEIGHT = 420;
    /** Kinds of disruption after which a holder cannot act any more, whatever its record says. */
    private static final Set<String> IMMEDIATE_STOPS = Set.of("kill", "stop");

    /** Time in ms after an event during which its consequences are counted. */
    private static final double OUTCOME_WINDOW_MS = 5000;
    /** Steps, in s since a cache became silent, by which executions at it are counted. */
    private static final int[] SILENCE_STEPS_S = {0, 2, 5};
    /** Steps in s since it answers again; the last step is as long as the time before it. */
    private static final int[] RECOVERY_STEPS_S = {0, 2, 5};

    /** Cost of a process that ran from the first query to the last: processor time in ms per second, and resident memory in MB at the end. */
    public record Cost(double cpuMsPerS, double residentMb) {}

    private final FleetScenario scenario;
    private final Report baseReport;
    private final ObjectNode tree = new ObjectMapper().createObjectNode();
    /** Samples of the time in s and the percentage of correct views. */
    private final List<double[]> correctViews = new ArrayList<>();
    private final boolean complete;
    private final int brokenCount;

    /** Times in ms are those of {@link System#nanoTime}, but for {@code ledgerStartMs}, which is the start of the scenario in the time of the ledger. */
    public FleetReport(FleetScenario scenario, Report baseReport, GroundTruth groundTruth, List<ViewChange> viewChanges, List<ViewChecker.Breach> breaches,
                       List<String> timeline, double startMs, double settledMs, double readyMs, DatagramFaultInjector links, boolean complete,
                       Map<String, LeaseChecker.Result> leases, List<LeaseChecker.HolderFault> holderFaults, List<LeaseChecker.Write> writes, Ledger ledger, double ledgerStartMs, List<Cost> costs) {
        this.scenario = scenario;
        this.baseReport = baseReport;
        this.complete = complete;
        List<String> storeBreaches = LeaseChecker.checkWrites(writes);
        brokenCount = breaches.size() + leases.values().stream().mapToInt(l -> l.breaches().size()).sum() + storeBreaches.size();
        double seconds = (settledMs - startMs) / MS_PER_S;
        tree.put("scenario", scenario.baseScenario().name()).put("seed", scenario.baseScenario().seed()).put("proxies", scenario.proxies())
                .put("period_ms", scenario.periodMs()).put("all_ready_ms", Math.round(readyMs));
        timeline.forEach(tree.putArray("timeline")::add);
        addProcessEnds(groundTruth, viewChanges, settledMs);
        for (double ms = startMs; ms < settledMs; ms += SAMPLE_MS) {
            int[] now = ViewChecker.countCorrectViews(groundTruth, viewChanges, ms);
            correctViews.add(new double[] {(ms - startMs) / MS_PER_S, now[1] == 0 ? 0 : 100.0 * now[0] / now[1]});
        }
        double lastFaultS = scenario.faultsEndS();
        tree.put("all_views_right_s_after_last_trouble", correctViews.stream().filter(r -> r[0] >= lastFaultS && isCorrectFrom(r[0])).mapToDouble(r -> r[0] - lastFaultS)
                .findFirst().orElse(-1));
        ObjectNode datagrams = tree.putObject("datagrams").put("passed", links.forwarded())
                .put("a_proxy_and_second", round(links.forwarded() / seconds / scenario.proxies()))
                .put("bytes_a_proxy_and_second", round(links.forwardedBytes() / seconds / scenario.proxies()));
        links.kindCounts().forEach((kind, count) -> datagrams.put("came_" + kind.name().toLowerCase(Locale.ROOT), count));
        links.faultCounts().forEach((type, count) -> datagrams.put(type.name().toLowerCase(Locale.ROOT), count));
        addCost(costs);
        ObjectNode guarantees = tree.putObject("promises").put("broken", brokenCount);
        ArrayNode breachArray = guarantees.putArray("breaches");
        breaches.forEach(b -> breachArray.addObject().put("promise", b.promise().name()).put("at_s", round((b.ms() - startMs) / MS_PER_S)).put("what", b.what()));
        leases.forEach((name, found) -> {
            ObjectNode lease = tree.putObject("lease_" + name).put("broken", found.breaches().size()).put("holders", found.holdPeriods().size());
            double[] gaps = found.gapsMs().stream().mapToDouble(g -> g).sorted().toArray();
            lease.put("without_holder_ms_median", gaps.length == 0 ? 0 : Math.round(gaps[gaps.length / 2]))
                    .put("without_holder_ms_most", gaps.length == 0 ? 0 : Math.round(gaps[gaps.length - 1]));
            ArrayNode holdings = lease.putArray("held");
            found.holdPeriods().forEach(h -> holdings.addObject().put("process", h.process()).put("round", h.round()).put("from_s", round((h.fromMs() - startMs) / MS_PER_S))
                    .put("to_s", round((h.toMs() - startMs) / MS_PER_S)));
            found.breaches().forEach(lease.putArray("breaches")::add);
        });
        if (scenario.leases() != null) {
            ObjectNode store = tree.putObject("store").put("taken", writes.stream().filter(LeaseChecker.Write::accepted).count())
                    .put("refused", writes.stream().filter(w -> !w.accepted()).count()).put("broken", storeBreaches.size());
            storeBreaches.forEach(store.putArray("breaches")::add);
        }
        Map<String, LeaseChecker.TakeoverTimes> takeoverTimes = LeaseChecker.takeoverTimes(holderFaults, leases.values().stream().flatMap(l -> l.holdPeriods().stream()).toList(), IMMEDIATE_STOPS);
        takeoverTimes.forEach((type, of) -> {
            ObjectNode disruptionNode = tree.putObject("holder_" + type).put("hits", of.withoutHolderMs().size()).put("without_next", of.notTakenOver());
            addDistribution(disruptionNode, "without_ms", of.withoutHolderMs());
            addDistribution(disruptionNode, "since_hit_ms", of.sinceFaultMs());
        });
        addSilentCaches(scenario, ledger, ledgerStartMs);
        addOutcomesAfterStops(ledger, ledgerStartMs);
        addListCalls(ledger, ledgerStartMs);
        tree.set("play", baseReport.tree());
    }

    private void addCost(List<Cost> costs) {
        if (!costs.isEmpty()) {
            double cpu = costs.stream().mapToDouble(Cost::cpuMsPerS).average().orElse(0);
            tree.putObject("cost").put("proxies", costs.size()).put("cpu_ms_a_proxy_and_second", round(cpu))
                    .put("resident_mb_a_proxy", round(costs.stream().mapToDouble(Cost::residentMb).average().orElse(0)));
        }
    }

    /** How the queries ended that were sent just after proxies had been stopped for good. */
    private void addOutcomesAfterStops(Ledger ledger, double ledgerStartMs) {
        for (FleetScenario.ProcessEvent event : scenario.processEvents()) {
            if (event.kind() == FleetScenario.ProcessEventKind.KILL || event.kind() == FleetScenario.ProcessEventKind.END) {
                double from = ledgerStartMs + event.atS() * MS_PER_S;
                Map<String, Integer> outcomes = new TreeMap<>();
                ledger.queries.stream().filter(q -> q.sentMs() >= from && q.sentMs() < from + OUTCOME_WINDOW_MS)
                        .forEach(q -> outcomes.merge(q.outcome().name().toLowerCase(Locale.ROOT), 1, Integer::sum));
                ObjectNode after = tree.putObject("in_5_s_after_" + event.kind().name().toLowerCase(Locale.ROOT) + "_at_" + event.atS());
                outcomes.forEach(after::put);
            }
        }
    }

    /** Calls to the list service after an outage of its own: the most within 100 ms and within 1 s, how many were refused, and when as many had been answered as there are proxies. */
    private void addListCalls(Ledger ledger, double ledgerStartMs) {
        for (Incident outage : scenario.baseScenario().incidents()) {
            if (outage.kind() == Scenario.IncidentKind.LIST_OUT) {
                double from = ledgerStartMs + (outage.atS() + outage.forS()) * MS_PER_S;
                List<Ledger.ListCall> calls = ledger.listCallLog.stream().filter(c -> c.atMs() >= from && c.atMs() < from + 3 * OUTCOME_WINDOW_MS).toList();
                double[] at = calls.stream().mapToDouble(Ledger.ListCall::atMs).sorted().toArray();
                double[] answered = calls.stream().filter(Ledger.ListCall::answered).mapToDouble(Ledger.ListCall::atMs).sorted().limit(scenario.proxies()).toArray();
                tree.putObject("list_calls_after_" + (outage.atS() + outage.forS())).put("in_15_s", at.length).put("turned_away", calls.size() - calls.stream().filter(Ledger.ListCall::answered).count())
                        .put("most_in_100_ms", maxWithin(at, MS_PER_S / 10)).put("most_in_1_s", maxWithin(at, MS_PER_S))
                        .put("as_many_answered_as_proxies_after_ms", answered.length < scenario.proxies() ? -1 : Math.round(answered[answered.length - 1] - from));
            }
        }
    }

    /** The largest number of the sorted times within any window of that length. */
    private static int maxWithin(double[] sorted, double ms) {
        int highest = 0;
        for (int from = 0, to = 0; to < sorted.length; to++) {
            while (sorted[to] - sorted[from] >= ms) {
                from++;
            }
            highest = Math.max(highest, to - from + 1);
        }
        return highest;
    }

    /**
     * For the times when caches were silent: executions that were still sent there, by the time since they became silent, and how many queries completed in time.
     * {@code ledgerStartMs}: the start of the scenario in the time of the ledger.
     */
    private void addSilentCaches(FleetScenario scenario, Ledger ledger, double ledgerStartMs) {
        List<Incident> silences = scenario.baseScenario().incidents().stream().filter(t -> t.kind() == Scenario.IncidentKind.SILENT).toList();
        if (silences.isEmpty()) {
            return;
        }
        long[] executionCounts = new long[SILENCE_STEPS_S.length];
        long queryCount = 0;
        long inTime = 0;
        Map<String, Double> slo = new TreeMap<>();
        scenario.baseScenario().load().grades().forEach(g -> slo.put(g.name(), g.sloMs()));
        for (Incident incident : silences) {
            double from = ledgerStartMs + incident.atS() * MS_PER_S;
            double to = from + incident.forS() * MS_PER_S;
            for (Ledger.Execution execution : ledger.executions) {
                if (execution.node().equals("cache-" + incident.cache()) && execution.atMs() >= from && execution.atMs() < to) {
                    int at = 0;
                    while (at + 1 < SILENCE_STEPS_S.length && execution.atMs() >= from + SILENCE_STEPS_S[at + 1] * MS_PER_S) {
                        at++;
                    }
                    executionCounts[at]++;
                }
            }
            for (Ledger.Query query : ledger.queries) {
                if (query.sentMs() >= from && query.sentMs() < to) {
                    queryCount++;
                    inTime += query.outcome() == Ledger.Outcome.COMPLETED && query.endedMs() - query.sentMs() <= slo.get(query.grade()) ? 1 : 0;
                }
            }
        }
        ObjectNode silenceNode = tree.putObject("silent_caches").put("troubles", silences.size()).put("executions", Arrays.stream(executionCounts).sum());
        for (int i = 0; i < executionCounts.length; i++) {
            silenceNode.put("executions_from_s_" + SILENCE_STEPS_S[i], executionCounts[i]);
        }
        for (int i = 0; i < RECOVERY_STEPS_S.length; i++) {
            silenceNode.put("again_from_s_" + RECOVERY_STEPS_S[i] + "_percent", round(100 * recoveryRatio(silences, ledger, ledgerStartMs, i)));
        }
        silenceNode.put("queries", queryCount).put("completed_in_time_percent", round(100.0 * inTime / Math.max(1, queryCount)));
    }

    /** Executions at caches that answer again, during that step of the time since, relative to the expected number by their rate before they became silent. */
    private double recoveryRatio(List<Incident> silences, Ledger ledger, double ledgerStartMs, int step) {
        double recovered = 0;
        double expected = 0;
        for (Incident incident : silences) {
            double silentFrom = ledgerStartMs + incident.atS() * MS_PER_S;
            double from = silentFrom + (incident.forS() + RECOVERY_STEPS_S[step]) * MS_PER_S;
            double span = (step + 1 < RECOVERY_STEPS_S.length ? RECOVERY_STEPS_S[step + 1] - RECOVERY_STEPS_S[step] : RECOVERY_STEPS_S[step]) * MS_PER_S;
            for (Ledger.Execution execution : ledger.executions) {
                boolean isThisCache = execution.node().equals("cache-" + incident.cache());
                recovered += isThisCache && execution.atMs() >= from && execution.atMs() < from + span ? 1 : 0;
                expected += isThisCache && execution.atMs() >= ledgerStartMs && execution.atMs() < silentFrom ? span / (silentFrom - ledgerStartMs) : 0;
            }
        }
        return recovered / Math.max(1, expected);
    }

    /** Adds the median, the 99th percentile and the maximum. */
    private static void addDistribution(ObjectNode target, String name, List<Double> values) {
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        if (sorted.length > 0) {
            target.put(name + "_median", Math.round(sorted[sorted.length / 2])).put(name + "_99", Math.round(sorted[(int) Math.ceil(0.99 * sorted.length) - 1]))
                    .put(name + "_most", Math.round(sorted[sorted.length - 1]));
        }
    }

    private boolean isCorrectFrom(double s) {
        return correctViews.stream().filter(r -> r[0] >= s).allMatch(r -> r[1] >= 100);
    }

    /** For each process that ended: when the first and the last of the other processes knew it, and how many did. */
    private void addProcessEnds(GroundTruth groundTruth, List<ViewChange> viewChanges, double settledMs) {
        ArrayNode ends = tree.putArray("ends");
        for (GroundTruth.Process ended : groundTruth.processes()) {
            if (ended.toMs() >= settledMs) {
                continue;
            }
            double first = Double.POSITIVE_INFINITY;
            double last = 0;
            Set<Long> knew = new HashSet<>();
            for (ViewChange change : viewChanges) {
                boolean knows = change.member().equals(ended.member()) && change.ms() > ended.toMs()
                        && (change.nonce() == ended.nonce() ? !change.state().isLive() : true);
                if (knows && knew.add(change.viewer())) {
                    first = Math.min(first, change.ms());
                    last = Math.max(last, change.ms());
                }
            }
            ends.addObject().put("member", ended.member()).put("first_knew_ms", knew.isEmpty() ? -1 : Math.round(first - ended.toMs()))
                    .put("last_knew_ms", knew.isEmpty() ? -1 : Math.round(last - ended.toMs())).put("knew", knew.size());
        }
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    @Override
    public String json() throws IOException {
        ObjectNode all = tree.deepCopy();
        ArrayNode samples = all.putArray("right_views_percent");
        correctViews.forEach(r -> samples.addArray().add(round(r[0])).add(round(r[1])));
        return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(all) + "\n";
    }

    @Override
    public String text() {
        return Report.text(tree);
    }

    /** Draws the share of correct views over time, with marks where faults and events begin and link faults end. */
    public void plot(Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeries series = new XYSeries("right");
        correctViews.forEach(r -> series.add(r[0], r[1]));
        JFreeChart chart = ChartFactory.createXYLineChart(scenario.baseScenario().name() + ", " + scenario.proxies() + " proxies", "s", "% of correct views",
                new XYSeriesCollection(series), PlotOrientation.VERTICAL, false, false, false);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.getRangeAxis().setRange(0, 105);
        plot.getRenderer().setSeriesPaint(0, new Color(0x1F5FA8));
        plot.getRenderer().setSeriesStroke(0, new BasicStroke(2));
        Map<Double, Set<String>> startMarks = new TreeMap<>();
        scenario.processEvents().forEach(e -> startMarks.computeIfAbsent(e.atS(), at -> new TreeSet<>()).add(e.kind().name()));
        scenario.linkFaults().forEach(l -> {
            startMarks.computeIfAbsent(l.atS(), at -> new TreeSet<>()).add(l.effect().name());
            addMarker(plot, l.atS() + l.forS(), "", new Color(0x2E7D32));
        });
        startMarks.forEach((at, labels) -> addMarker(plot, at, String.join(" ", labels), new Color(0xB03A2E)));
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }

    private static void addMarker(XYPlot plot, double atS, String label, Color color) {
        ValueMarker marker = new ValueMarker(atS, color, new BasicStroke(1));
        marker.setLabel(label.toLowerCase(Locale.ROOT));
        marker.setLabelAnchor(RectangleAnchor.TOP_RIGHT);
        marker.setLabelTextAnchor(TextAnchor.TOP_LEFT);
        plot.addDomainMarker(marker);
    }

    /** 0 if everything holds, 1 if a rule is broken or a guarantee is violated, 3 if that cannot be decided. */
    @Override
    public int exitStatus() {
        return brokenCount > 0 ? 1 : complete ? baseReport.exitStatus() : 3;
    }

    /** Number of violated guarantees of views, leases and the store. */
    public int brokenCount() {
        return brokenCount;
    }
}
