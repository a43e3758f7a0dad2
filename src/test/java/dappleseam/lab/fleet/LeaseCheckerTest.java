package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.lease.Token;
import dappleseam.lab.fleet.LeaseChecker.Result;
import dappleseam.lab.fleet.LeaseChecker.LeaseRecord;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The checker against records of processes that do wrong on purpose. */
class LeaseCheckerTest {
    private static final double RUNS = Double.POSITIVE_INFINITY;

    private static Result check(LeaseRecord... lines) {
        return LeaseChecker.check(List.of(lines)).get("l");
    }

    private static LeaseRecord held(String process, long round, double ms, double until) {
        return new LeaseRecord(process, "l", round, ms, until, RUNS);
    }

    private static LeaseRecord lost(String process, long round, double ms) {
        return new LeaseRecord(process, "l", round, ms, Double.NaN, RUNS);
    }

    @Test
    void oneAfterTheOtherIsSound() {
        Result found = check(held("a", 1, 0, 100), held("a", 1, 50, 150), held("b", 2, 160, 260), lost("b", 2, 200), held("a", 3, 210, 300));
        assertThat(found.breaches()).isEmpty();
        assertThat(found.gapsMs()).containsExactly(10.0, 10.0);
    }

    @Test
    void twoAtOnceAreSeen() {
        assertThat(check(held("a", 1, 0, 100), held("b", 2, 99, 200)).breaches()).hasSize(1);
        assertThat(check(held("a", 1, 0, 100), held("a", 1, 50, 150), held("b", 2, 120, 200)).breaches()).hasSize(1);
        assertThat(check(held("a", 1, 0, 300), held("b", 2, 310, 320), lost("b", 2, 312), held("c", 3, 311, 400)).breaches()).hasSize(1);
    }

    private static LeaseChecker.Write write(long round, long number, boolean taken) {
        return new LeaseChecker.Write(0, new Token(round, 1), number, taken);
    }

    @Test
    void aStoreThatTakesWhatIsOlderIsSeen() {
        assertThat(LeaseChecker.checkWrites(List.of(write(1, 1, true), write(1, 2, true), write(2, 1, true), write(1, 3, false)))).isEmpty();
        assertThat(LeaseChecker.checkWrites(List.of(write(2, 1, true), write(1, 3, true)))).hasSize(1);
        assertThat(LeaseChecker.checkWrites(List.of(write(2, 2, true), write(2, 1, true)))).hasSize(1);
    }

    @Test
    void theTimeWithoutAHolderIsToldByWhatHitIt() {
        Result found = check(held("a", 1, 0, 100), held("b", 2, 130, 200), held("c", 3, 260, 300));
        Map<String, LeaseChecker.TakeoverTimes> absences = LeaseChecker.takeoverTimes(List.of(new LeaseChecker.HolderFault("cut", 50, "a"), new LeaseChecker.HolderFault("stop", 150, "b"),
                new LeaseChecker.HolderFault("stop", 270, "c")), found.holdPeriods(), Set.of("stop"));
        assertThat(absences.get("cut").withoutHolderMs()).containsExactly(30.0);
        assertThat(absences.get("cut").sinceFaultMs()).containsExactly(80.0);
        assertThat(absences.get("stop").withoutHolderMs()).containsExactly(110.0);
        assertThat(absences.get("stop").notTakenOver()).isEqualTo(1);
    }

    @Test
    void whoWasKilledActsNoMore() {
        assertThat(check(new LeaseRecord("a", "l", 1, 0, 100, 40), held("b", 2, 60, 160)).breaches()).isEmpty();
    }

    @Test
    void aRoundThatFallsIsSeen() {
        assertThat(check(held("a", 5, 0, 100), held("b", 5, 110, 200)).breaches()).hasSize(1);
        assertThat(check(held("a", 5, 0, 100), held("b", 4, 110, 200)).breaches()).hasSize(1);
    }
}
