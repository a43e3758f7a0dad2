package dappleseam.lab.check;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.check.Ledger.Execution;
import dappleseam.lab.check.Ledger.Query;
import dappleseam.lab.check.Ledger.Outcome;
import dappleseam.lab.check.RuleChecker.Breach;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Load;
import dappleseam.lab.scenario.Scenario.Origin;
import dappleseam.lab.scenario.Scenario.Semantics;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shows for each rule that it detects a history that breaks it and accepts the closest history that keeps it. */
class RuleCheckerTest {
    private static final Scenario SCENARIO = new Scenario("s", 1, 10, new Caches(2, 10, 1, 5, 100, 100, 0.5, 4, 2000, 10),
            new Origin(10, 4), new Load(10, 10, 1, List.of(grade("read", Semantics.IDEMPOTENT),
            grade("post", Semantics.NON_IDEMPOTENT), grade("transfer", Semantics.DEDUPLICATED))), List.of(), List.of());

    private final Ledger ledger = new Ledger();

    private static Grade grade(String name, Semantics semantics) {
        return new Grade(name, 1, semantics, semantics != Semantics.IDEMPOTENT, 300, 1000, 0, 0);
    }

    private void addQuery(String id, String grade, double endedMs, Outcome outcome, int answers) {
        ledger.queries.add(new Query(id, grade, false, 1000, 1000, endedMs, outcome, answers, 1));
    }

    private void addExecution(String query, String node, double atMs, String idempotencyKey) {
        ledger.executions.add(new Execution(query, node, atMs, idempotencyKey, true, false));
    }

    private List<Integer> brokenRules() {
        return RuleChecker.check(SCENARIO, ledger, false).stream().map(Breach::rule).toList();
    }

    @Test
    void aCorrectHistoryBreaksNoRule() {
        addQuery("a", "read", 1100, Outcome.COMPLETED, 1);
        addExecution("a", "cache-0", 1010, "");
        addExecution("a", "origin", 1020, "");
        addQuery("b", "read", 1500, Outcome.LEFT, 0);
        addQuery("c", "post", 1100, Outcome.REJECTED, 1);
        assertThat(brokenRules()).isEmpty();
    }

    @Test
    void aQueryWithoutAnAnswerBreaksTheFirstRule() {
        addQuery("a", "read", 2200, Outcome.UNANSWERED, 0);
        assertThat(brokenRules()).containsExactly(1);
    }

    @Test
    void twoAnswersBreakTheFirstRule() {
        addQuery("a", "read", 1100, Outcome.COMPLETED, 2);
        assertThat(brokenRules()).containsExactly(1);
    }

    @Test
    void anAnswerPastTheStatementTimeoutBreaksTheFirstRule() {
        addQuery("a", "read", 2049, Outcome.ABORTED, 1);
        assertThat(brokenRules()).isEmpty();
        addQuery("b", "read", 2051, Outcome.ABORTED, 1);
        assertThat(brokenRules()).containsExactly(1);
    }

    @Test
    void anExecutionAfterTheAnswerBreaksTheFirstRule() {
        addQuery("a", "read", 1100, Outcome.REJECTED, 1);
        addExecution("a", "cache-0", 1200, "");
        assertThat(brokenRules()).containsExactly(1);
    }

    @Test
    void aNonIdempotentQueryThatRunsTwiceBreaksTheSecondRule() {
        addQuery("a", "post", 1200, Outcome.COMPLETED, 1);
        addExecution("a", "origin", 1010, "");
        addExecution("a", "origin", 1100, "");
        assertThat(brokenRules()).containsExactly(2);
        assertThat(RuleChecker.check(SCENARIO, ledger, false).get(0).description()).contains("origin at 1010.0 ms; origin at 1100.0 ms");
    }

    @Test
    void aNonIdempotentQueryRejectedThoughItRanBreaksTheSecondRule() {
        addQuery("a", "post", 1200, Outcome.REJECTED, 1);
        addExecution("a", "origin", 1010, "");
        assertThat(brokenRules()).containsExactly(2);
    }

    @Test
    void anIdempotencyKeyAppliedTwiceBreaksTheSecondRule() {
        addQuery("a", "transfer", 1200, Outcome.ABORTED, 1);
        addExecution("a", "origin", 1010, "m1");
        ledger.executions.add(new Execution("a", "origin", 1100, "m1", false, false)); // dropped as a duplicate, which is correct
        assertThat(brokenRules()).isEmpty();
        addExecution("a", "origin", 1150, "m1");
        assertThat(brokenRules()).containsExactly(2);
    }

    @Test
    void anExecutionAtADrainedNodeBreaksTheThirdRule() {
        ledger.listUpdates.add(new Ledger.ListUpdate("cache-0", "draining", 1000));
        addExecution("a", "cache-0", 1540, "");
        assertThat(brokenRules()).isEmpty();
        addExecution("b", "cache-0", 1560, "");
        assertThat(brokenRules()).containsExactly(3);
    }

    @Test
    void anOverloadedColdCacheBreaksTheFourthRule() {
        ledger.cacheStarts.add(new Ledger.CacheStart("cache-0", 1000, true));
        for (int i = 0; i < 220; i++) { // a cold cache can process 75 in 1.5 s; the limit is three times that, 225
            addExecution("q" + i, "cache-0", 1001 + i, "");
        }
        assertThat(brokenRules()).isEmpty();
        for (int i = 220; i < 260; i++) {
            addExecution("q" + i, "cache-0", 1001 + i, "");
        }
        assertThat(brokenRules()).containsExactly(4);
    }
}
