package dappleseam.lab.check;

import dappleseam.lab.check.Ledger.Execution;
import dappleseam.lab.check.Ledger.Query;
import dappleseam.lab.check.Ledger.Started;
import dappleseam.lab.check.Ledger.Told;
import dappleseam.lab.check.Ledger.Verdict;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Repeat;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Checks the four rules on the record of a run, without I/O. Rule 1: each query has exactly one answer, within its statement timeout, and is not executed after its end.
 * Rule 2: a non-idempotent query is not retried if it may have been executed, and an idempotency key takes effect once. Rule 3: a drained node receives no executions.
 * Rule 4: a cold cache is not overloaded. Each breach describes the query's history.
 */
public final class RuleChecker {
    /** Allowance in ms that is added to every time limit for the way there and back. */
    static final double SLACK_MS = 50;
    /** Time in ms after a drain was announced during which executions may still be sent to the node. */
    static final double GRACE_MS = 500;
    /** A cold cache is overloaded when it is sent more than this multiple of its capacity during a window of this length in ms. */
    static final double FALL_MULTIPLE = 3;
    static final double FALL_MS = 1500;

    /** A broken rule, 1 to 4. {@code timeBased}: whether it depends on a time limit, which cannot be judged when the laboratory itself was late. */
    public record Breach(int rule, String what, boolean timed) {}

    private final Scenario scenario;
    private final Map<String, Grade> grades;
    private final List<Breach> breaches = new ArrayList<>();

    private RuleChecker(Scenario scenario) {
        this.scenario = scenario;
        grades = scenario.load().grades().stream().collect(Collectors.toMap(Grade::name, Function.identity()));
    }

    /** {@code hasClientFaults}: faults on the clients' own connections are not the proxy's, so an answer that is cut there breaks no rule. */
    public static List<Breach> check(Scenario scenario, Ledger ledger, boolean clientsAreCut) {
        RuleChecker checker = new RuleChecker(scenario);
        // In the order in which the nodes recorded them, not by time: a node records an execution before it answers, and its time is only the earliest possible one.
        Map<String, List<Execution>> byQuery = ledger.executions.stream().collect(Collectors.groupingBy(Execution::query));
        for (Query query : ledger.queries) {
            checker.oneAnswer(query, byQuery.getOrDefault(query.id(), List.of()), clientsAreCut);
            checker.noEffectTwice(query, byQuery.getOrDefault(query.id(), List.of()));
        }
        checker.marksOnce(ledger);
        checker.drains(ledger);
        checker.coldCaches(ledger);
        return checker.breaches;
    }

    private void breach(int rule, String what, List<Execution> history) {
        breach(rule, what, history, false);
    }

    private void breach(int rule, String what, List<Execution> history, boolean timed) {
        breaches.add(new Breach(rule, what + history.stream().map(e -> String.format("; %s at %.1f ms%s", e.node(), e.atMs(),
                e.turnedAway() ? " refused" : e.effect() ? "" : " dropped as a duplicate")).collect(Collectors.joining()), timed));
    }

    private void oneAnswer(Query q, List<Execution> executions, boolean clientsAreCut) {
        if (q.verdict() == Verdict.TAKEN_DOWN) {
            return;
        }
        boolean lost = q.verdict() == Verdict.UNANSWERED || q.verdict() == Verdict.CUT || q.verdict() == Verdict.SPOILT;
        if (lost && !clientsAreCut) {
            breach(1, "query " + q.id() + " ended " + q.verdict() + " after "
                    + Math.round(q.endedMs() - q.sentMs()) + " of " + Math.round(q.timeoutMs()) + " ms", executions);
        } else if (!lost && q.verdict() != Verdict.LEFT && q.answers() != 1) {
            breach(1, "query " + q.id() + " received " + q.answers() + " answers", executions);
        } else if (!lost && q.cameMs() > q.sentMs() + q.timeoutMs() + SLACK_MS) {
            breach(1, "query " + q.id() + " was answered after its statement timeout", executions, true);
        }
        for (Execution e : executions) {
            if (!clientsAreCut && e.atMs() > q.endedMs() + SLACK_MS) {
                breach(1, "query " + q.id() + " was forwarded after its end at " + Math.round(q.endedMs()) + " ms", executions, true);
                return;
            }
        }
    }

    private void noEffectTwice(Query q, List<Execution> executions) {
        if (grades.get(q.grade()).repeat() != Repeat.NON_IDEMPOTENT) {
            return;
        }
        long effects = executions.stream().filter(Execution::effect).count();
        boolean ranBeforeLast = executions.stream().limit(Math.max(0, executions.size() - 1)).anyMatch(Execution::effect);
        if (effects > 1 || ranBeforeLast) {
            breach(2, "query " + q.id() + " was retried although it may have been executed", executions);
        } else if (effects > 0 && q.verdict() == Verdict.REJECTED) {
            breach(2, "query " + q.id() + " was rejected although it was executed", executions);
        }
    }

    private void marksOnce(Ledger ledger) {
        Map<String, List<Execution>> byMark = ledger.executions.stream().filter(e -> e.effect() && !e.mark().isEmpty())
                .collect(Collectors.groupingBy(Execution::mark));
        byMark.forEach((mark, ran) -> {
            if (ran.size() > 1) {
                breach(2, "idempotency key " + mark + " took effect " + ran.size() + " times", ran);
            }
        });
    }

    private void drains(Ledger ledger) {
        Map<String, Double> leftAt = new HashMap<>();
        for (Told told : ledger.told) {
            if (told.state().equals("ready")) {
                leftAt.remove(told.node());
            } else {
                leftAt.putIfAbsent(told.node(), told.atMs());
            }
        }
        for (Execution e : ledger.executions) {
            Double at = leftAt.get(e.node());
            if (at != null && e.atMs() > at + GRACE_MS + SLACK_MS) {
                breach(3, e.node() + " received query " + e.query() + " " + Math.round(e.atMs() - at)
                        + " ms after its drain was announced", List.of(), true);
            }
        }
    }

    /** Compares the commands within any window of the stated length with the capacity of the cache during it. */
    private void coldCaches(Ledger ledger) {
        double perMs = scenario.caches().slots() / Math.max(0.1, scenario.caches().workMs());
        double warmMs = scenario.caches().warmS() * 1000;
        for (Started start : ledger.started) {
            if (!start.cold()) {
                continue;
            }
            List<Execution> sent = ledger.executions.stream().filter(e -> e.node().equals(start.node())
                    && e.atMs() >= start.atMs() && e.atMs() < start.atMs() + warmMs)
                    .sorted(Comparator.comparingDouble(Execution::atMs)).toList();
            for (int from = 0, to = 0; to < sent.size(); to++) {
                while (sent.get(to).atMs() - sent.get(from).atMs() > FALL_MS) {
                    from++;
                }
                double age = Math.max(0, sent.get(from).atMs() - start.atMs());
                double share = scenario.caches().coldFrom() + (1 - scenario.caches().coldFrom()) * age / Math.max(1, warmMs);
                if (to - from + 1 > FALL_MULTIPLE * share * perMs * FALL_MS) {
                    breach(4, start.node() + " received " + (to - from + 1) + " commands in " + FALL_MS + " ms, "
                            + Math.round(age) + " ms after its cold start", List.of(), true);
                    break;
                }
            }
        }
    }
}
