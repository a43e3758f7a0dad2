package dappleseam.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.fault.LinkTool;
import dappleseam.lab.fleet.LeaseChecker;
import dappleseam.lab.fleet.ViewChange;
import dappleseam.lab.fleet.GroundTruth;
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

/** What a rehearsal of many proxies showed: their views against what was done, beside what one of any size shows. */
public final class FleetReport implements Told {
    private static final double MS_PER_S = 1000;
    private static final double SAMPLE_MS = 500;
    private static final int WIDTH = 1100;
    private static final int HEIGHT = 420;
    /** Hits after which a holder acts no more, whatever its record says. */
    private static final Set<String> STOPS = Set.of("kill", "stop");

    /** Time in ms after something was done in which what came of it is counted. */
    private static final double AFTER_MS = 5000;
    /** Times in s since a cache fell silent from which executions there are counted apart. */
    private static final int[] SINCE_S = {0, 2, 5};
    /** Times in s since it answers again; the last part is as long as it took to come there. */
    private static final int[] AGAIN_S = {0, 2, 5};

    /** What a process that ran from the first query to the last took: ms of processor time a second, and MB resident at the end. */
    public record Cost(double cpuMsPerS, double residentMb) {}

    private final FleetScenario scenario;
    private final Report played;
    private final ObjectNode tree = new ObjectMapper().createObjectNode();
    private final List<double[]> right = new ArrayList<>();
    private final boolean complete;
    private final int broken;

    public FleetReport(FleetScenario scenario, Report played, GroundTruth truth, List<ViewChange> sights, List<ViewChecker.Breach> breaches,
                       List<String> timeline, double beganMs, double settledMs, double readyMs, LinkTool links, boolean complete,
                       Map<String, LeaseChecker.Result> leases, List<LeaseChecker.HolderFault> hits, List<LeaseChecker.Write> writes, Ledger ledger, double playMs, List<Cost> costs) {
        this.scenario = scenario;
        this.played = played;
        this.complete = complete;
        List<String> atStore = LeaseChecker.checkWrites(writes);
        broken = breaches.size() + leases.values().stream().mapToInt(l -> l.breaches().size()).sum() + atStore.size();
        double seconds = (settledMs - beganMs) / MS_PER_S;
        tree.put("scenario", scenario.play().name()).put("seed", scenario.play().seed()).put("proxies", scenario.proxies())
                .put("period_ms", scenario.periodMs()).put("all_ready_ms", Math.round(readyMs));
        timeline.forEach(tree.putArray("timeline")::add);
        deaths(truth, sights, settledMs);
        for (double ms = beganMs; ms < settledMs; ms += SAMPLE_MS) {
            int[] now = ViewChecker.countCorrectViews(truth, sights, ms);
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
            ObjectNode lease = tree.putObject("lease_" + name).put("broken", found.breaches().size()).put("holders", found.holdPeriods().size());
            double[] gaps = found.gapsMs().stream().mapToDouble(g -> g).sorted().toArray();
            lease.put("without_holder_ms_median", gaps.length == 0 ? 0 : Math.round(gaps[gaps.length / 2]))
                    .put("without_holder_ms_most", gaps.length == 0 ? 0 : Math.round(gaps[gaps.length - 1]));
            ArrayNode held = lease.putArray("held");
            found.holdPeriods().forEach(h -> held.addObject().put("process", h.process()).put("round", h.round()).put("from_s", round((h.fromMs() - beganMs) / MS_PER_S))
                    .put("to_s", round((h.toMs() - beganMs) / MS_PER_S)));
            found.breaches().forEach(lease.putArray("breaches")::add);
        });
        if (scenario.leases() != null) {
            ObjectNode store = tree.putObject("store").put("taken", writes.stream().filter(LeaseChecker.Write::accepted).count())
                    .put("refused", writes.stream().filter(w -> !w.accepted()).count()).put("broken", atStore.size());
            atStore.forEach(store.putArray("breaches")::add);
        }
        Map<String, LeaseChecker.TakeoverTimes> absences = LeaseChecker.takeoverTimes(hits, leases.values().stream().flatMap(l -> l.holdPeriods().stream()).toList(), STOPS);
        absences.forEach((how, of) -> {
            ObjectNode hit = tree.putObject("holder_" + how).put("hits", of.withoutHolderMs().size()).put("without_next", of.notTakenOver());
            spread(hit, "without_ms", of.withoutHolderMs());
            spread(hit, "since_hit_ms", of.sinceFaultMs());
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

    /** What became of the queries of the seconds after proxies were taken down for good. */
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

    /** Calls that came to the list service after an outage of its own: the most in a tenth of a second and in one, and how many were turned away. */
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

    /** While caches were silent: executions that came there all the same, by how long they had been, and what became of queries. {@code playMs}: the scenario's 0 in the ledger. */
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

    /** Executions at caches that answer again, in that part of the time since, over what came there in as much time before they fell silent. */
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

    /** For each process that ended: when the first and the last of those that ran throughout knew it. */
    private void deaths(GroundTruth truth, List<ViewChange> sights, double settledMs) {
        ArrayNode deaths = tree.putArray("ends");
        for (GroundTruth.Process over : truth.processes()) {
            if (over.toMs() >= settledMs) {
                continue;
            }
            double first = Double.POSITIVE_INFINITY;
            double last = 0;
            Set<Long> knew = new HashSet<>();
            for (ViewChange sight : sights) {
                boolean knows = sight.member().equals(over.member()) && sight.ms() > over.toMs()
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

    /** How many views were right over time, with the times at which something was done. */
    public void plot(Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeries series = new XYSeries("right");
        right.forEach(r -> series.add(r[0], r[1]));
        JFreeChart chart = ChartFactory.createXYLineChart(scenario.play().name() + ", " + scenario.proxies() + " proxies", "s", "% of views that are right",
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

    /** As the command ends: 0 where all is kept, 1 where a rule or a promise is broken, 3 where that cannot be told. */
    @Override
    public int status() {
        return broken > 0 ? 1 : complete ? played.status() : 3;
    }

    /** Broken promises. */
    public int broken() {
        return broken;
    }
}
