package dappleseam.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.fault.LinkTool;
import dappleseam.lab.fleet.LeaseChecker;
import dappleseam.lab.fleet.Sight;
import dappleseam.lab.fleet.Truth;
import dappleseam.lab.fleet.ViewChecker;
import dappleseam.lab.scenario.FleetScenario;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Trouble;
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
public final class FleetReport implements Told {
    private static final double MS_PER_S = 1000;
    private static final double SAMPLE_MS = 500;
    private static final int WIDTH = 1100;
    private static final int HEIGHT = 420;
    /** Kinds of disruption after which a holder cannot act any more, whatever its record says. */
    private static final Set<String> STOPS = Set.of("kill", "stop");

    /** Time in ms after an event during which its consequences are counted. */
    private static final double AFTER_MS = 5000;
    /** Steps, in s since a cache became silent, by which executions at it are counted. */
    private static final int[] SINCE_S = {0, 2, 5};
    /** Steps in s since it answers again; the last step is as long as the time before it. */
    private static final int[] AGAIN_S = {0, 2, 5};

    /** Cost of a process that ran from the first query to the last: processor time in ms per second, and resident memory in MB at the end. */
    public record Cost(double cpuMsPerS, double residentMb) {}

    private final FleetScenario scenario;
    private final Report played;
    private final ObjectNode tree = new ObjectMapper().createObjectNode();
    /** Samples of the time in s and the percentage of correct views. */
    private final List<double[]> right = new ArrayList<>();
    private final boolean complete;
    private final int broken;

    /** Times in ms are those of {@link System#nanoTime}, but for {@code ledgerStartMs}, which is the start of the scenario in the time of the ledger. */
    public FleetReport(FleetScenario scenario, Report played, Truth truth, List<Sight> sights, List<ViewChecker.Breach> breaches,
                       List<String> timeline, double beganMs, double settledMs, double readyMs, LinkTool links, boolean complete,
                       Map<String, LeaseChecker.Found> leases, List<LeaseChecker.Hit> hits, List<LeaseChecker.Write> writes, Ledger ledger, double playMs, List<Cost> costs) {
        this.scenario = scenario;
        this.played = played;
        this.complete = complete;
        List<String> atStore = LeaseChecker.writes(writes);
        broken = breaches.size() + leases.values().stream().mapToInt(l -> l.breaches().size()).sum() + atStore.size();
        double seconds = (settledMs - beganMs) / MS_PER_S;
        tree.put("scenario", scenario.play().name()).put("seed", scenario.play().seed()).put("proxies", scenario.proxies())
                .put("period_ms", scenario.periodMs()).put("all_ready_ms", Math.round(readyMs));
        timeline.forEach(tree.putArray("timeline")::add);
        deaths(truth, sights, settledMs);
        for (double ms = beganMs; ms < settledMs; ms += SAMPLE_MS) {
            int[] now = ViewChecker.right(truth, sights, ms);
            right.add(new double[] {(ms - beganMs) / MS_PER_S, now[1] == 0 ? 0 : 100.0 * now[0] / now[1]});
        }
        double over = scenario.troublesEndS();
        tree.put("all_views_right_s_after_last_trouble", right.stream().filter(r -> r[0] >= over && isRightFrom(r[0])).mapToDouble(r -> r[0] - over)
                .findFirst().orElse(-1));
        ObjectNode wire = tree.putObject("datagrams").put("passed", links.passed())
                .put("a_proxy_and_second", round(links.passed() / seconds / scenario.proxies()))
                .put("bytes_a_proxy_and_second", round(links.passedBytes() / seconds / scenario.proxies()));
        links.kinds().forEach((kind, count) -> wire.put("came_" + kind.name().toLowerCase(Locale.ROOT), count));
        links.done().forEach((how, count) -> wire.put(how.name().toLowerCase(Locale.ROOT), count));
        cost(costs);
        ObjectNode promises = tree.putObject("promises").put("broken", broken);
        ArrayNode told = promises.putArray("breaches");
        breaches.forEach(b -> told.addObject().put("promise", b.promise().name()).put("at_s", round((b.ms() - beganMs) / MS_PER_S)).put("what", b.what()));
        leases.forEach((name, found) -> {
            ObjectNode lease = tree.putObject("lease_" + name).put("broken", found.breaches().size()).put("holders", found.holdings().size());
            double[] gaps = found.gapsMs().stream().mapToDouble(g -> g).sorted().toArray();
            lease.put("without_holder_ms_median", gaps.length == 0 ? 0 : Math.round(gaps[gaps.length / 2]))
                    .put("without_holder_ms_most", gaps.length == 0 ? 0 : Math.round(gaps[gaps.length - 1]));
            ArrayNode held = lease.putArray("held");
            found.holdings().forEach(h -> held.addObject().put("process", h.process()).put("round", h.round()).put("from_s", round((h.fromMs() - beganMs) / MS_PER_S))
                    .put("to_s", round((h.toMs() - beganMs) / MS_PER_S)));
            found.breaches().forEach(lease.putArray("breaches")::add);
        });
        if (scenario.leases() != null) {
            ObjectNode store = tree.putObject("store").put("taken", writes.stream().filter(LeaseChecker.Write::taken).count())
                    .put("refused", writes.stream().filter(w -> !w.taken()).count()).put("broken", atStore.size());
            atStore.forEach(store.putArray("breaches")::add);
        }
        Map<String, LeaseChecker.Absence> absences = LeaseChecker.absences(hits, leases.values().stream().flatMap(l -> l.holdings().stream()).toList(), STOPS);
        absences.forEach((how, of) -> {
            ObjectNode hit = tree.putObject("holder_" + how).put("hits", of.withoutMs().size()).put("without_next", of.withoutNext());
            spread(hit, "without_ms", of.withoutMs());
            spread(hit, "since_hit_ms", of.sinceHitMs());
        });
        wasted(scenario, ledger, playMs);
        afterKills(ledger, playMs);
        calls(ledger, playMs);
        tree.set("play", played.tree());
    }

    private void cost(List<Cost> costs) {
        if (!costs.isEmpty()) {
            double cpu = costs.stream().mapToDouble(Cost::cpuMsPerS).average().orElse(0);
            tree.putObject("cost").put("proxies", costs.size()).put("cpu_ms_a_proxy_and_second", round(cpu))
                    .put("resident_mb_a_proxy", round(costs.stream().mapToDouble(Cost::residentMb).average().orElse(0)));
        }
    }

    /** How the queries ended that were sent just after proxies had been stopped for good. */
    private void afterKills(Ledger ledger, double playMs) {
        for (FleetScenario.ProcessEvent event : scenario.processes()) {
            if (event.kind() == FleetScenario.ProcessKind.KILL || event.kind() == FleetScenario.ProcessKind.END) {
                double from = playMs + event.atS() * MS_PER_S;
                Map<String, Integer> ends = new TreeMap<>();
                ledger.queries.stream().filter(q -> q.sentMs() >= from && q.sentMs() < from + AFTER_MS)
                        .forEach(q -> ends.merge(q.verdict().name().toLowerCase(Locale.ROOT), 1, Integer::sum));
                ObjectNode after = tree.putObject("in_5_s_after_" + event.kind().name().toLowerCase(Locale.ROOT) + "_at_" + event.atS());
                ends.forEach(after::put);
            }
        }
    }

    /** Calls to the list service after an outage of its own: the most within 100 ms and within 1 s, how many were refused, and when as many had been answered as there are proxies. */
    private void calls(Ledger ledger, double playMs) {
        for (Trouble out : scenario.play().troubles()) {
            if (out.kind() == Scenario.Kind.LIST_OUT) {
                double from = playMs + (out.atS() + out.forS()) * MS_PER_S;
                List<Ledger.ListCall> calls = ledger.callsForList.stream().filter(c -> c.atMs() >= from && c.atMs() < from + 3 * AFTER_MS).toList();
                double[] at = calls.stream().mapToDouble(Ledger.ListCall::atMs).sorted().toArray();
                double[] answered = calls.stream().filter(Ledger.ListCall::answered).mapToDouble(Ledger.ListCall::atMs).sorted().limit(scenario.proxies()).toArray();
                tree.putObject("list_calls_after_" + (out.atS() + out.forS())).put("in_15_s", at.length).put("turned_away", calls.size() - calls.stream().filter(Ledger.ListCall::answered).count())
                        .put("most_in_100_ms", mostWithin(at, MS_PER_S / 10)).put("most_in_1_s", mostWithin(at, MS_PER_S))
                        .put("as_many_answered_as_proxies_after_ms", answered.length < scenario.proxies() ? -1 : Math.round(answered[answered.length - 1] - from));
            }
        }
    }

    /** The largest number of the sorted times within any window of that length. */
    private static int mostWithin(double[] sorted, double ms) {
        int most = 0;
        for (int from = 0, to = 0; to < sorted.length; to++) {
            while (sorted[to] - sorted[from] >= ms) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }

    /**
     * For the times when caches were silent: executions that were still sent there, by the time since they became silent, and how many queries completed in time.
     * {@code ledgerStartMs}: the start of the scenario in the time of the ledger.
     */
    private void wasted(FleetScenario scenario, Ledger ledger, double playMs) {
        List<Trouble> silent = scenario.play().troubles().stream().filter(t -> t.kind() == Scenario.Kind.SILENT).toList();
        if (silent.isEmpty()) {
            return;
        }
        long[] came = new long[SINCE_S.length];
        long asked = 0;
        long inTime = 0;
        Map<String, Double> slo = new TreeMap<>();
        scenario.play().load().grades().forEach(g -> slo.put(g.name(), g.sloMs()));
        for (Trouble trouble : silent) {
            double from = playMs + trouble.atS() * MS_PER_S;
            double to = from + trouble.forS() * MS_PER_S;
            for (Ledger.Execution execution : ledger.executions) {
                if (execution.node().equals("cache-" + trouble.cache()) && execution.atMs() >= from && execution.atMs() < to) {
                    int at = 0;
                    while (at + 1 < SINCE_S.length && execution.atMs() >= from + SINCE_S[at + 1] * MS_PER_S) {
                        at++;
                    }
                    came[at]++;
                }
            }
            for (Ledger.Query query : ledger.queries) {
                if (query.sentMs() >= from && query.sentMs() < to) {
                    asked++;
                    inTime += query.verdict() == Ledger.Verdict.COMPLETED && query.endedMs() - query.sentMs() <= slo.get(query.grade()) ? 1 : 0;
                }
            }
        }
        ObjectNode wasted = tree.putObject("silent_caches").put("troubles", silent.size()).put("executions", Arrays.stream(came).sum());
        for (int i = 0; i < came.length; i++) {
            wasted.put("executions_from_s_" + SINCE_S[i], came[i]);
        }
        for (int i = 0; i < AGAIN_S.length; i++) {
            wasted.put("again_from_s_" + AGAIN_S[i] + "_percent", round(100 * again(silent, ledger, playMs, i)));
        }
        wasted.put("queries", asked).put("completed_in_time_percent", round(100.0 * inTime / Math.max(1, asked)));
    }

    /** Executions at caches that answer again, during that step of the time since, relative to the expected number by their rate before they became silent. */
    private double again(List<Trouble> silent, Ledger ledger, double playMs, int part) {
        double came = 0;
        double usual = 0;
        for (Trouble trouble : silent) {
            double fell = playMs + trouble.atS() * MS_PER_S;
            double from = fell + (trouble.forS() + AGAIN_S[part]) * MS_PER_S;
            double span = (part + 1 < AGAIN_S.length ? AGAIN_S[part + 1] - AGAIN_S[part] : AGAIN_S[part]) * MS_PER_S;
            for (Ledger.Execution execution : ledger.executions) {
                boolean there = execution.node().equals("cache-" + trouble.cache());
                came += there && execution.atMs() >= from && execution.atMs() < from + span ? 1 : 0;
                usual += there && execution.atMs() >= playMs && execution.atMs() < fell ? span / (fell - playMs) : 0;
            }
        }
        return came / Math.max(1, usual);
    }

    /** Adds the median, the 99th percentile and the maximum. */
    private static void spread(ObjectNode to, String name, List<Double> values) {
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        if (sorted.length > 0) {
            to.put(name + "_median", Math.round(sorted[sorted.length / 2])).put(name + "_99", Math.round(sorted[(int) Math.ceil(0.99 * sorted.length) - 1]))
                    .put(name + "_most", Math.round(sorted[sorted.length - 1]));
        }
    }

    private boolean isRightFrom(double s) {
        return right.stream().filter(r -> r[0] >= s).allMatch(r -> r[1] >= 100);
    }

    /** For each process that ended: when the first and the last of the other processes knew it, and how many did. */
    private void deaths(Truth truth, List<Sight> sights, double settledMs) {
        ArrayNode deaths = tree.putArray("ends");
        for (Truth.Process over : truth.processes()) {
            if (over.toMs() >= settledMs) {
                continue;
            }
            double first = Double.POSITIVE_INFINITY;
            double last = 0;
            Set<Long> knew = new HashSet<>();
            for (Sight sight : sights) {
                boolean knows = sight.who().equals(over.member()) && sight.ms() > over.toMs()
                        && (sight.nonce() == over.nonce() ? !sight.state().isLive() : true);
                if (knows && knew.add(sight.viewer())) {
                    first = Math.min(first, sight.ms());
                    last = Math.max(last, sight.ms());
                }
            }
            deaths.addObject().put("member", over.member()).put("first_knew_ms", knew.isEmpty() ? -1 : Math.round(first - over.toMs()))
                    .put("last_knew_ms", knew.isEmpty() ? -1 : Math.round(last - over.toMs())).put("knew", knew.size());
        }
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    @Override
    public String json() throws IOException {
        ObjectNode all = tree.deepCopy();
        ArrayNode samples = all.putArray("right_views_percent");
        right.forEach(r -> samples.addArray().add(round(r[0])).add(round(r[1])));
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
        right.forEach(r -> series.add(r[0], r[1]));
        JFreeChart chart = ChartFactory.createXYLineChart(scenario.play().name() + ", " + scenario.proxies() + " proxies", "s", "% of correct views",
                new XYSeriesCollection(series), PlotOrientation.VERTICAL, false, false, false);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.getRangeAxis().setRange(0, 105);
        plot.getRenderer().setSeriesPaint(0, new Color(0x1F5FA8));
        plot.getRenderer().setSeriesStroke(0, new BasicStroke(2));
        Map<Double, Set<String>> begins = new TreeMap<>();
        scenario.processes().forEach(e -> begins.computeIfAbsent(e.atS(), at -> new TreeSet<>()).add(e.kind().name()));
        scenario.links().forEach(l -> {
            begins.computeIfAbsent(l.atS(), at -> new TreeSet<>()).add(l.how().name());
            mark(plot, l.atS() + l.forS(), "", new Color(0x2E7D32));
        });
        begins.forEach((at, what) -> mark(plot, at, String.join(" ", what), new Color(0xB03A2E)));
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }

    private static void mark(XYPlot plot, double atS, String label, Color color) {
        ValueMarker marker = new ValueMarker(atS, color, new BasicStroke(1));
        marker.setLabel(label.toLowerCase(Locale.ROOT));
        marker.setLabelAnchor(RectangleAnchor.TOP_RIGHT);
        marker.setLabelTextAnchor(TextAnchor.TOP_LEFT);
        plot.addDomainMarker(marker);
    }

    /** 0 if everything holds, 1 if a rule is broken or a guarantee is violated, 3 if that cannot be decided. */
    @Override
    public int status() {
        return broken > 0 ? 1 : complete ? played.status() : 3;
    }

    /** Number of violated guarantees of views, leases and the store. */
    public int broken() {
        return broken;
    }
}
