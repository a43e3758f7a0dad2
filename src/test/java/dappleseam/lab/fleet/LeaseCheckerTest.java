package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.LeaseChecker.Found;
import dappleseam.lab.fleet.LeaseChecker.Line;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The checker against records of processes that do wrong on purpose. */
class LeaseCheckerTest {
    private static final double RUNS = Double.POSITIVE_INFINITY;

    private static Found check(Line... lines) {
        return LeaseChecker.check(List.of(lines)).get("l");
    }

    private static Line held(String process, long round, double ms, double until) {
        return new Line(process, "l", round, ms, until, RUNS);
    }

    private static Line lost(String process, long round, double ms) {
        return new Line(process, "l", round, ms, Double.NaN, RUNS);
    }

    @Test
    void oneAfterTheOtherIsSound() {
        Found found = check(held("a", 1, 0, 100), held("a", 1, 50, 150), held("b", 2, 160, 260), lost("b", 2, 200), held("a", 3, 210, 300));
        assertThat(found.breaches()).isEmpty();
        assertThat(found.gapsMs()).containsExactly(10.0, 10.0);
    }

    @Test
    void twoAtOnceAreSeen() {
        assertThat(check(held("a", 1, 0, 100), held("b", 2, 99, 200)).breaches()).hasSize(1);
        assertThat(check(held("a", 1, 0, 100), held("a", 1, 50, 150), held("b", 2, 120, 200)).breaches()).hasSize(1);
        assertThat(check(held("a", 1, 0, 300), held("b", 2, 310, 320), lost("b", 2, 312), held("c", 3, 311, 400)).breaches()).hasSize(1);
    }

    @Test
    void whoWasKilledActsNoMore() {
        assertThat(check(new Line("a", "l", 1, 0, 100, 40), held("b", 2, 60, 160)).breaches()).isEmpty();
    }

    @Test
    void aRoundThatFallsIsSeen() {
        assertThat(check(held("a", 5, 0, 100), held("b", 5, 110, 200)).breaches()).hasSize(1);
        assertThat(check(held("a", 5, 0, 100), held("b", 4, 110, 200)).breaches()).hasSize(1);
    }
}
