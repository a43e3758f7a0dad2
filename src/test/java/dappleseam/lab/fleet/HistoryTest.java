package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.share.ShareCalculator;
import dappleseam.lab.fleet.History.Kind;
import dappleseam.lab.fleet.History.Step;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Random fault histories, generated and shrunk: the membership keeps its guarantees whatever the faults. */
class HistoryTest {
    @Provide
    Arbitrary<History> histories() {
        Arbitrary<Step> step = Combinators.combine(Arbitraries.of(Kind.class), Arbitraries.integers().between(0, 5), Arbitraries.integers().between(0, 5),
                Arbitraries.integers().between(0, 15), Arbitraries.integers().between(1, 300))
                .as((kind, a, b, afterS, tenths) -> new Step(kind, a, b, afterS * 1000.0, tenths * 100.0));
        return Combinators.combine(Arbitraries.longs(), step.list().ofMaxSize(8)).as((seed, steps) -> new History(6, seed, steps));
    }

    @Property(tries = 300, seed = "20261201", edgeCases = EdgeCasesMode.NONE)
    void noHistoryBreaksAPromise(@ForAll("histories") History history) {
        assertThat(history.play().breaches()).isEmpty();
    }

    @Property(tries = 150, seed = "20261202", edgeCases = EdgeCasesMode.NONE)
    void sharesComeToTheWholeAndNobodyStarves(@ForAll("histories") History history) {
        History.Verdict verdict = history.withShares().play();
        assertThat(verdict.breaches()).isEmpty();
        assertThat(verdict.taken().most()).isLessThan(1 + ViewChecker.margin(6));
        assertThat(verdict.taken().least()).as("half of an even share").isGreaterThan(ShareCalculator.EVEN_PART - 1e-9);
    }

    /** Without the others' traffic, each member takes its own for all traffic of the fleet, so the shares add up to more than one. */
    @Test
    void thatSharesGoOverTheWholeIsSeen() {
        assertThat(History.draw(3, 6, 4).withShares().play(Planted.NO_RATES).taken().most()).isGreaterThan(1 + ViewChecker.margin(6));
    }

    /** The absence of each safeguard is detected, and the failing history can be shrunk to fewer steps. */
    @ParameterizedTest
    @EnumSource(value = Planted.class, names = {"NO_REFUTATION", "NO_MERGE"})
    void aDefenceTakenOutIsSeen(Planted planted) {
        History failing = null;
        for (long seed = 1; seed <= 200 && failing == null; seed++) {
            History tried = History.draw(seed, 6, 8);
            failing = tried.play(planted).breaches().isEmpty() ? null : tried;
        }
        assertThat(failing).isNotNull();
        History least = failing.shrink(planted);
        assertThat(least.play(planted).breaches()).isNotEmpty();
        assertThat(least.steps().size()).isLessThan(failing.steps().size());
    }

    @Test
    void oneSeedIsOneHistory() {
        History history = History.draw(7, 6, 8);
        assertThat(history).isEqualTo(History.draw(7, 6, 8));
        assertThat(history.play().datagrams()).isEqualTo(history.play().datagrams());
    }

    @Test
    void aFewSeedsOfOtherSizesHold() {
        for (int members : List.of(2, 3, 12, 25)) {
            for (long seed = 1; seed <= 25; seed++) {
                assertThat(History.draw(seed, members, 8).play().breaches()).as("%d members, seed %d", members, seed).isEmpty();
            }
        }
    }
}
