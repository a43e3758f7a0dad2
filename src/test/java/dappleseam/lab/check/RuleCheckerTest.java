package dappleseam.lab.check;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.check.Ledger.Execution;
import dappleseam.lab.check.Ledger.Query;
import dappleseam.lab.check.Ledger.Verdict;
import dappleseam.lab.check.RuleChecker.Breach;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Load;
import dappleseam.lab.scenario.Scenario.Origin;
import dappleseam.lab.scenario.Scenario.Repeat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shows for each rule that it detects a history that breaks it and accepts the closest history that keeps it. */
class RuleCheckerTest {
    private static final Scenario SCENARIO = new Scenario("s", 1, 10, new Caches(2, 10, 1, 5, 100, 100, 0.5, 4, 2000, 10),
            new Origin(10, 4), new Load(10, 10, 1, List.of(grade("read", Repeat.IDEMPOTENT),
            grade("post", Repeat.NON_IDEMPOTENT), grade("transfer", Repeat.DEDUPLICATED))), List.of(), List.of());

    private final Ledger ledger = new Ledger();

    private static Grade grade(String name, Repeat repeat) {
        return new Grade(name, 1, repeat, repeat != Repeat.IDEMPOTENT, 300, 1000, 0, 0);
    }

    private void asked(String id, String grade, double endedMs, Verdict verdict, int answers) {
        ledger.queries.add(new Query(id, grade, false, 1000, 1000, endedMs, verdict, answers, 1));
    }

    private void ran(String query, String node, double atMs, String mark) {
        ledger.executions.add(new Execution(query, node, atMs, mark, true, false));
    }

    private List<Integer> broken() {
        return RuleChecker.check(SCENARIO, ledger, false).stream().map(Breach::rule).toList();
    }

    @Test
    void anOrdinaryDayBreaksNothing() {
        asked("a", "read", 1100, Verdict.COMPLETED, 1);
        ran("a", "cache-0", 1010, "");
        ran("a", "origin", 1020, "");
        asked("b", "read", 1500, Verdict.LEFT, 0);
        asked("c", "post", 1100, Verdict.REJECTED, 1);
        assertThat(broken()).isEmpty();
    }

    @Test
    void aQueryWithoutAnAnswerBreaksTheFirstRule() {
        asked("a", "read", 2200, Verdict.UNANSWERED, 0);
        assertThat(broken()).containsExactly(1);
    }

    @Test
    void twoAnswersBreakTheFirstRule() {
        asked("a", "read", 1100, Verdict.COMPLETED, 2);
        assertThat(broken()).containsExactly(1);
    }

    @Test
    void anAnswerPastTheStatementTimeoutBreaksTheFirstRule() {
        asked("a", "read", 2049, Verdict.ABORTED, 1);
        assertThat(broken()).isEmpty();
        asked("b", "read", 2051, Verdict.ABORTED, 1);
        assertThat(broken()).containsExactly(1);
    }

    @Test
    void anExecutionAfterTheAnswerBreaksTheFirstRule() {
        asked("a", "read", 1100, Verdict.REJECTED, 1);
        ran("a", "cache-0", 1200, "");
        assertThat(broken()).containsExactly(1);
    }

    @Test
    void aNonIdempotentQueryThatRunsTwiceBreaksTheSecondRule() {
        asked("a", "post", 1200, Verdict.COMPLETED, 1);
        ran("a", "origin", 1010, "");
        ran("a", "origin", 1100, "");
        assertThat(broken()).containsExactly(2);
        assertThat(RuleChecker.check(SCENARIO, ledger, false).get(0).what()).contains("origin at 1010.0 ms; origin at 1100.0 ms");
    }

    @Test
    void aNonIdempotentQueryRejectedThoughItRanBreaksTheSecondRule() {
        asked("a", "post", 1200, Verdict.REJECTED, 1);
        ran("a", "origin", 1010, "");
        assertThat(broken()).containsExactly(2);
    }

    @Test
    void aMarkWhoseEffectHappensTwiceBreaksTheSecondRule() {
        asked("a", "transfer", 1200, Verdict.ABORTED, 1);
        ran("a", "origin", 1010, "m1");
        ledger.executions.add(new Execution("a", "origin", 1100, "m1", false, false)); // dropped as a duplicate, which is correct
        assertThat(broken()).isEmpty();
        ran("a", "origin", 1150, "m1");
        assertThat(broken()).containsExactly(2);
    }

    @Test
    void anExecutionAtADrainedNodeBreaksTheThirdRule() {
        ledger.told.add(new Ledger.Told("cache-0", "draining", 1000));
        ran("a", "cache-0", 1540, "");
        assertThat(broken()).isEmpty();
        ran("b", "cache-0", 1560, "");
        assertThat(broken()).containsExactly(3);
    }

    @Test
    void aColdCacheThatIsPushedOverBreaksTheFourthRule() {
        ledger.started.add(new Ledger.Started("cache-0", 1000, true));
        for (int i = 0; i < 220; i++) { // a cold cache can process 75 in 1.5 s; the limit is three times that, 225
            ran("q" + i, "cache-0", 1001 + i, "");
        }
        assertThat(broken()).isEmpty();
        for (int i = 220; i < 260; i++) {
            ran("q" + i, "cache-0", 1001 + i, "");
        }
        assertThat(broken()).containsExactly(4);
    }
}
