package dappleseam.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.Ledger.Outcome;
import dappleseam.lab.check.RuleChecker.Breach;
import dappleseam.lab.load.LoadGenerator;
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
public final class Report implements RunReport {
    private static final double[] PERCENTILES = {50, 90, 99, 100};
    /** Breaches that a report lists at most if some are doubtful; certain ones are all listed. */
    private static final int MAX_LISTED_BREACHES = 20;
    /** Stalls of the laboratory that a report lists at most, the longest first. */
    private static final int MAX_LISTED_STALLS = 5;

    private final ObjectNode tree = new ObjectMapper().createObjectNode();

    public Report(Scenario scenario, Ledger ledger, LoadGenerator load, List<Breach> breaches, int faults, int openConnections) {
        tree.put("scenario", scenario.name()).put("seed", scenario.seed()).put("seconds", scenario.seconds());
        tree.put("complete", ledger.notes.stream().noneMatch(n -> n.contains("incomplete")));
        ObjectNode tools = tree.putObject("tools").put("latest_ms", round(ledger.maxLatenessMs()))
                .put("load_was_full", load.reachedLimit()).put("faults_planned", faults).put("connections_left_at_fault_tools", openConnections);
        tools.put("trustworthy", ledger.maxLatenessMs() < Ledger.STALL_MS && !load.reachedLimit());
        ArrayNode stalls = tools.putArray("held_up");
        ledger.stalls.stream().sorted(Comparator.comparingDouble(Ledger.Stall::lateMs).reversed()).limit(MAX_LISTED_STALLS).forEach(h -> stalls.addObject()
                .put("at_ms", Math.round(h.atMs())).put("late_ms", Math.round(h.lateMs())).put("waited_for_a_processor_ms", Math.round(h.waitedMs()))
                .put("collected_garbage_ms", Math.round(h.gcMs())));
        ObjectNode grades = tree.putObject("grades");
        for (Grade grade : scenario.load().grades()) {
            addGrade(grades.putObject(grade.name()), grade, ledger, load.latencies().get(grade.name()));
        }
        long queryCount = ledger.queries.size();
        tree.put("queries", queryCount).put("executions", ledger.executions.size())
                .put("executions_a_query", queryCount == 0 ? 0 : round((double) ledger.executions.size() / queryCount))
                .put("list_calls", ledger.listCallCount.get());
        ObjectNode nodes = tree.putObject("executions_by_node");
        new TreeMap<>(ledger.executions.stream().collect(Collectors.groupingBy(Ledger.Execution::node, Collectors.counting())))
                .forEach(nodes::put);
        ledger.notes.forEach(tree.putArray("notes")::add);
        boolean trustworthy = tools.path("trustworthy").asBoolean();
        List<Breach> certain = breaches.stream().filter(b -> trustworthy || !b.timeBased()).toList();
        // A laboratory that was late itself cannot judge time limits: a proxy must not be blamed for a busy machine.
        ObjectNode rules = tree.putObject("rules").put("broken", certain.size()).put("doubtful", breaches.size() - certain.size());
        var breachArray = rules.putArray("breaches");
        breachesToList(breaches, trustworthy).forEach(b -> breachArray.addObject().put("rule", b.rule()).put("sure", trustworthy || !b.timeBased()).put("what", b.description()));
    }

    /** All certain breaches, followed by doubtful ones up to the limit. */
    private static List<Breach> breachesToList(List<Breach> breaches, boolean trustworthy) {
        List<Breach> certain = breaches.stream().filter(b -> trustworthy || !b.timeBased()).toList();
        Stream<Breach> doubtful = breaches.stream().filter(b -> !trustworthy && b.timeBased());
        return Stream.concat(certain.stream(), doubtful.limit(Math.max(0, MAX_LISTED_BREACHES - certain.size()))).toList();
    }

    private static void addGrade(ObjectNode node, Grade grade, Ledger ledger, Histogram latencies) {
        List<Ledger.Query> gradeQueries = ledger.queries.stream().filter(q -> q.grade().equals(grade.name())).toList();
        node.put("queries", gradeQueries.size());
        Map<Outcome, Long> outcomes = gradeQueries.stream().collect(Collectors.groupingBy(Ledger.Query::outcome, Collectors.counting()));
        for (Outcome outcome : Outcome.values()) {
            node.put(outcome.name().toLowerCase(Locale.ROOT), outcomes.getOrDefault(outcome, 0L));
        }
        for (double percentile : PERCENTILES) {
            node.put("p" + (int) percentile + "_ms", round(latencies.getValueAtPercentile(percentile) / 1000.0));
        }
        double inTime = latencies.getTotalCount() == 0 ? 0 : latencies.getPercentileAtOrBelowValue((long) (grade.sloMs() * 1000));
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
        appendLines(text, "", tree);
        return text.toString();
    }

    private static void appendLines(StringBuilder text, String prefix, JsonNode node) {
        if (node.isObject()) {
            node.fields().forEachRemaining(f -> {
                if (f.getValue().isContainerNode() && !isFlat(f.getValue())) {
                    appendLines(text, prefix + f.getKey() + ".", f.getValue());
                } else {
                    text.append(String.format("%-28s %s%n", prefix + f.getKey(), flat(f.getValue())));
                }
            });
        } else {
            node.forEach(part -> text.append(String.format("%-28s %s%n", prefix.substring(0, prefix.length() - 1), flat(part))));
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
    public int exitStatus() {
        JsonNode rules = tree.path("rules");
        return rules.path("broken").asInt() > 0 ? 1
                : rules.path("doubtful").asInt() > 0 || !tree.path("complete").asBoolean() ? 3 : 0;
    }
}
