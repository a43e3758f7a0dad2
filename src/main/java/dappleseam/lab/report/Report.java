package dappleseam.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.Ledger.Verdict;
import dappleseam.lab.check.RuleChecker.Breach;
import dappleseam.lab.load.LoadTool;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Grade;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.HdrHistogram.Histogram;

/** The report of one run, as JSON and as text that is made from the same tree. */
public final class Report implements Told {
    private static final double[] PERCENTILES = {50, 90, 99, 100};
    /** Breaches that a report lists at most if some are doubtful; certain ones are all listed. */
    private static final int MOST_BREACHES = 20;
    /** Stalls of the laboratory that a report lists at most, the longest first. */
    private static final int MOST_HELD_UPS = 5;

    private final ObjectNode tree = new ObjectMapper().createObjectNode();

    public Report(Scenario scenario, Ledger ledger, LoadTool load, List<Breach> breaches, int faults, int leftOpen) {
        tree.put("scenario", scenario.name()).put("seed", scenario.seed()).put("seconds", scenario.seconds());
        tree.put("complete", ledger.notes.stream().noneMatch(n -> n.contains("incomplete")));
        ObjectNode tools = tree.putObject("tools").put("latest_ms", round(ledger.latenessMs()))
                .put("load_was_full", load.wasFull()).put("faults_planned", faults).put("connections_left_at_fault_tools", leftOpen);
        tools.put("trustworthy", ledger.latenessMs() < Ledger.HELD_UP_MS && !load.wasFull());
        ArrayNode heldUps = tools.putArray("held_up");
        ledger.heldUps.stream().sorted(Comparator.comparingDouble(Ledger.HeldUp::lateMs).reversed()).limit(MOST_HELD_UPS).forEach(h -> heldUps.addObject()
                .put("at_ms", Math.round(h.atMs())).put("late_ms", Math.round(h.lateMs())).put("waited_for_a_processor_ms", Math.round(h.waitedMs()))
                .put("collected_garbage_ms", Math.round(h.collectedMs())));
        ObjectNode grades = tree.putObject("grades");
        for (Grade grade : scenario.load().grades()) {
            grade(grades.putObject(grade.name()), grade, ledger, load.times().get(grade.name()));
        }
        long asked = ledger.queries.size();
        tree.put("queries", asked).put("executions", ledger.executions.size())
                .put("executions_a_query", asked == 0 ? 0 : round((double) ledger.executions.size() / asked))
                .put("list_calls", ledger.listCalls.get());
        ObjectNode nodes = tree.putObject("executions_by_node");
        new TreeMap<>(ledger.executions.stream().collect(Collectors.groupingBy(Ledger.Execution::node, Collectors.counting())))
                .forEach(nodes::put);
        ledger.notes.forEach(tree.putArray("notes")::add);
        boolean trustworthy = tools.path("trustworthy").asBoolean();
        List<Breach> sure = breaches.stream().filter(b -> trustworthy || !b.timed()).toList();
        // A laboratory that was late itself cannot judge time limits: a proxy must not be blamed for a busy machine.
        ObjectNode rules = tree.putObject("rules").put("broken", sure.size()).put("doubtful", breaches.size() - sure.size());
        var told = rules.putArray("breaches");
        listed(breaches, trustworthy).forEach(b -> told.addObject().put("rule", b.rule()).put("sure", trustworthy || !b.timed()).put("what", b.what()));
    }

    /** All certain breaches, followed by doubtful ones up to the limit. */
    private static List<Breach> listed(List<Breach> breaches, boolean trustworthy) {
        List<Breach> sure = breaches.stream().filter(b -> trustworthy || !b.timed()).toList();
        Stream<Breach> doubtful = breaches.stream().filter(b -> !trustworthy && b.timed());
        return Stream.concat(sure.stream(), doubtful.limit(Math.max(0, MOST_BREACHES - sure.size()))).toList();
    }

    private static void grade(ObjectNode node, Grade grade, Ledger ledger, Histogram times) {
        List<Ledger.Query> asked = ledger.queries.stream().filter(q -> q.grade().equals(grade.name())).toList();
        node.put("queries", asked.size());
        Map<Verdict, Long> verdicts = asked.stream().collect(Collectors.groupingBy(Ledger.Query::verdict, Collectors.counting()));
        for (Verdict verdict : Verdict.values()) {
            node.put(verdict.name().toLowerCase(Locale.ROOT), verdicts.getOrDefault(verdict, 0L));
        }
        for (double percentile : PERCENTILES) {
            node.put("p" + (int) percentile + "_ms", round(times.getValueAtPercentile(percentile) / 1000.0));
        }
        double inTime = times.getTotalCount() == 0 ? 0 : times.getPercentileAtOrBelowValue((long) (grade.sloMs() * 1000));
        node.put("completed_within_slo_percent", round(inTime));
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    /** The whole report; {@link FleetReport} embeds it. */
    public ObjectNode tree() {
        return tree;
    }

    @Override
    public String json() throws IOException {
        return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(tree) + "\n";
    }

    @Override
    public String text() {
        return text(tree);
    }

    static String text(JsonNode tree) {
        StringBuilder text = new StringBuilder();
        lines(text, "", tree);
        return text.toString();
    }

    private static void lines(StringBuilder text, String at, JsonNode node) {
        if (node.isObject()) {
            node.fields().forEachRemaining(f -> {
                if (f.getValue().isContainerNode() && !isFlat(f.getValue())) {
                    lines(text, at + f.getKey() + ".", f.getValue());
                } else {
                    text.append(String.format("%-28s %s%n", at + f.getKey(), flat(f.getValue())));
                }
            });
        } else {
            node.forEach(part -> text.append(String.format("%-28s %s%n", at.substring(0, at.length() - 1), flat(part))));
        }
    }

    private static boolean isFlat(JsonNode node) {
        return node.isObject() && !node.isEmpty() && StreamSupport.stream(node.spliterator(), false)
                .noneMatch(JsonNode::isContainerNode);
    }

    private static String flat(JsonNode node) {
        if (!node.isObject()) {
            return node.asText();
        }
        StringBuilder line = new StringBuilder();
        node.fields().forEachRemaining(f -> line.append(f.getKey()).append(' ').append(f.getValue().asText()).append("  "));
        return line.toString().strip();
    }

    /** 0 if all rules are kept, 1 if one is broken, 3 if that cannot be decided: breaches are only doubtful, or the run is incomplete. */
    @Override
    public int status() {
        JsonNode rules = tree.path("rules");
        return rules.path("broken").asInt() > 0 ? 1
                : rules.path("doubtful").asInt() > 0 || !tree.path("complete").asBoolean() ? 3 : 0;
    }
}
