package dappleseam.lab.check;

import dappleseam.lab.check.Ledger.Execution;
import dappleseam.lab.check.Ledger.Query;
import dappleseam.lab.check.Ledger.CacheStart;
import dappleseam.lab.check.Ledger.ListUpdate;
import dappleseam.lab.check.Ledger.Outcome;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Semantics;
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
    static final double DRAIN_GRACE_MS = 500;
    /** A cold cache is overloaded when it is sent more than this multiple of its capacity during a window of this length in ms. */
    static final double OVERLOAD_FACTOR = 3;
    static final double OVERLOAD_WINDOW_MS = 1500;

    /** A broken rule, 1 to 4. {@code timeBased}: whether it depends on a time limit, which cannot be judged when the laboratory itself was late. */
    public record Breach(int rule, String description, boolean timeBased) {}

    private final Scenario scenario;
    private final Map<String, Grade> grades;
    private final List<Breach> breaches = new ArrayList<>();

    private RuleChecker(Scenario scenario) {
        this.scenario = scenario;
        grades = scenario.load().grades().stream().collect(Collectors.toMap(Grade::name, Function.identity()));
    }

    /** {@code hasClientFaults}: faults on the clients' own connections are not the proxy's, so an answer that is cut there breaks no rule. */
    public static List<Breach> check(Scenario scenario, Ledger ledger, boolean hasClientFaults) {
        RuleChecker checker = new RuleChecker(scenario);
        // In the order in which the nodes recorded them, not by time: a node records an execution before it answers, and its time is only the earliest possible one.
        Map<String, List<Execution>> byQuery = ledger.executions.stream().collect(Collectors.groupingBy(Execution::query));
        for (Query query : ledger.queries) {
            checker.checkSingleAnswer(query, byQuery.getOrDefault(query.id(), List.of()), hasClientFaults);
            checker.checkNonIdempotent(query, byQuery.getOrDefault(query.id(), List.of()));
        }
        checker.checkIdempotencyKeys(ledger);
        checker.checkDrains(ledger);
        checker.checkColdCaches(ledger);
        return checker.breaches;
    }

    private void addBreach(int rule, String description, List<Execution> history) {
        addBreach(rule, description, history, false);
    }

    private void addBreach(int rule, String description, List<Execution> history, boolean timeBased) {
        breaches.add(new Breach(rule, description + history.stream().map(e -> String.format("; %s at %.1f ms%s", e.node(), e.atMs(),
                e.refused() ? " refused" : e.effect() ? "" : " dropped as a duplicate")).collect(Collectors.joining()), timeBased));
    }

    private void checkSingleAnswer(Query q, List<Execution> executions, boolean hasClientFaults) {
        if (q.outcome() == Outcome.TAKEN_DOWN) {
            return;
        }
        boolean lost = q.outcome() == Outcome.UNANSWERED || q.outcome() == Outcome.CUT || q.outcome() == Outcome.SPOILT;
        if (lost && !hasClientFaults) {
            addBreach(1, "query " + q.id() + " ended " + q.outcome() + " after "
                    + Math.round(q.endedMs() - q.sentMs()) + " of " + Math.round(q.timeoutMs()) + " ms", executions);
        } else if (!lost && q.outcome() != Outcome.LEFT && q.answers() != 1) {
            addBreach(1, "query " + q.id() + " received " + q.answers() + " answers", executions);
        } else if (!lost && q.lastByteMs() > q.sentMs() + q.timeoutMs() + SLACK_MS) {
            addBreach(1, "query " + q.id() + " was answered after its statement timeout", executions, true);
        }
        for (Execution e : executions) {
            if (!hasClientFaults && e.atMs() > q.endedMs() + SLACK_MS) {
                addBreach(1, "query " + q.id() + " was forwarded after its end at " + Math.round(q.endedMs()) + " ms", executions, true);
                return;
            }
        }
    }

    private void checkNonIdempotent(Query q, List<Execution> executions) {
        if (grades.get(q.grade()).semantics() != Semantics.NON_IDEMPOTENT) {
            return;
        }
        long effects = executions.stream().filter(Execution::effect).count();
        boolean ranBeforeLast = executions.stream().limit(Math.max(0, executions.size() - 1)).anyMatch(Execution::effect);
        if (effects > 1 || ranBeforeLast) {
            addBreach(2, "query " + q.id() + " was retried although it may have been executed", executions);
        } else if (effects > 0 && q.outcome() == Outcome.REJECTED) {
            addBreach(2, "query " + q.id() + " was rejected although it was executed", executions);
        }
    }

    private void checkIdempotencyKeys(Ledger ledger) {
        Map<String, List<Execution>> byKey = ledger.executions.stream().filter(e -> e.effect() && !e.idempotencyKey().isEmpty())
                .collect(Collectors.groupingBy(Execution::idempotencyKey));
        byKey.forEach((idempotencyKey, keyExecutions) -> {
            if (keyExecutions.size() > 1) {
                addBreach(2, "idempotency key " + idempotencyKey + " took effect " + keyExecutions.size() + " times", keyExecutions);
            }
        });
    }

    private void checkDrains(Ledger ledger) {
        Map<String, Double> drainedAt = new HashMap<>();
        for (ListUpdate update : ledger.listUpdates) {
            if (update.state().equals("ready")) {
                drainedAt.remove(update.node());
            } else {
                drainedAt.putIfAbsent(update.node(), update.atMs());
            }
        }
        for (Execution e : ledger.executions) {
            Double at = drainedAt.get(e.node());
            if (at != null && e.atMs() > at + DRAIN_GRACE_MS + SLACK_MS) {
                addBreach(3, e.node() + " received query " + e.query() + " " + Math.round(e.atMs() - at)
                        + " ms after its drain was announced", List.of(), true);
            }
        }
    }

    /** Compares the commands within any window of the stated length with the capacity of the cache during it. */
    private void checkColdCaches(Ledger ledger) {
        double perMs = scenario.caches().slots() / Math.max(0.1, scenario.caches().workMs());
        double warmMs = scenario.caches().warmUpS() * 1000;
        for (CacheStart start : ledger.cacheStarts) {
            if (!start.cold()) {
                continue;
            }
            List<Execution> sent = ledger.executions.stream().filter(e -> e.node().equals(start.node())
                    && e.atMs() >= start.atMs() && e.atMs() < start.atMs() + warmMs)
                    .sorted(Comparator.comparingDouble(Execution::atMs)).toList();
            for (int from = 0, to = 0; to < sent.size(); to++) {
                while (sent.get(to).atMs() - sent.get(from).atMs() > OVERLOAD_WINDOW_MS) {
                    from++;
                }
                double age = Math.max(0, sent.get(from).atMs() - start.atMs());
                double share = scenario.caches().coldCapacity() + (1 - scenario.caches().coldCapacity()) * age / Math.max(1, warmMs);
                if (to - from + 1 > OVERLOAD_FACTOR * share * perMs * OVERLOAD_WINDOW_MS) {
                    addBreach(4, start.node() + " received " + (to - from + 1) + " commands in " + OVERLOAD_WINDOW_MS + " ms, "
                            + Math.round(age) + " ms after its cold start", List.of(), true);
                    break;
                }
            }
        }
    }
}
