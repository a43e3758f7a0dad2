package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.share.ShareCalculator;
import dappleseam.lab.fleet.FaultHistory.Kind;
import dappleseam.lab.fleet.FaultHistory.Step;
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

/** Whole histories of a fleet, drawn and shrunk: whatever befalls it, its views keep their promises. */
class HistoryTest {
    @Provide
    Arbitrary<FaultHistory> histories() {
        Arbitrary<Step> step = Combinators.combine(Arbitraries.of(Kind.class), Arbitraries.integers().between(0, 5), Arbitraries.integers().between(0, 5),
                Arbitraries.integers().between(0, 15), Arbitraries.integers().between(1, 300))
                .as((kind, a, b, afterS, tenths) -> new Step(kind, a, b, afterS * 1000.0, tenths * 100.0));
        return Combinators.combine(Arbitraries.longs(), step.list().ofMaxSize(8)).as((seed, steps) -> new FaultHistory(6, seed, steps));
    }

    @Property(tries = 300, seed = "20261201", edgeCases = EdgeCasesMode.NONE)
    void noHistoryBreaksAPromise(@ForAll("histories") FaultHistory history) {
        assertThat(history.play().breaches()).isEmpty();
    }

    @Property(tries = 150, seed = "20261202", edgeCases = EdgeCasesMode.NONE)
    void sharesComeToTheWholeAndNobodyStarves(@ForAll("histories") FaultHistory history) {
        FaultHistory.Outcome verdict = history.withShares().play();
        assertThat(verdict.breaches()).isEmpty();
        assertThat(verdict.shareTotals().highest()).isLessThan(1 + ViewChecker.shareMargin(6));
        assertThat(verdict.shareTotals().lowestShare()).as("half of an even share").isGreaterThan(ShareCalculator.EVEN_PART - 1e-9);
    }

    /** Without what others tell of their traffic each takes it for all there is. */
    @Test
    void thatSharesGoOverTheWholeIsSeen() {
        assertThat(FaultHistory.generate(3, 6, 4).withShares().play(PlantedFault.NO_RATES).shareTotals().highest()).isGreaterThan(1 + ViewChecker.shareMargin(6));
    }

    /** Each defence is seen to be missed, and what it takes is told in few steps. */
    @ParameterizedTest
    @EnumSource(value = PlantedFault.class, names = {"NO_REFUTATION", "NO_MERGE"})
    void aDefenceTakenOutIsSeen(PlantedFault planted) {
        FaultHistory failing = null;
        for (long seed = 1; seed <= 200 && failing == null; seed++) {
            FaultHistory tried = FaultHistory.generate(seed, 6, 8);
            failing = tried.play(planted).breaches().isEmpty() ? null : tried;
        }
        assertThat(failing).isNotNull();
        FaultHistory least = failing.shrink(planted);
        assertThat(least.play(planted).breaches()).isNotEmpty();
        assertThat(least.steps().size()).isLessThan(failing.steps().size());
    }

    @Test
    void oneSeedIsOneHistory() {
        FaultHistory history = FaultHistory.generate(7, 6, 8);
        assertThat(history).isEqualTo(FaultHistory.generate(7, 6, 8));
        assertThat(history.play().datagrams()).isEqualTo(history.play().datagrams());
    }

    @Test
    void aFewSeedsOfOtherSizesHold() {
        for (int members : List.of(2, 3, 12, 25)) {
            for (long seed = 1; seed <= 25; seed++) {
                assertThat(FaultHistory.generate(seed, members, 8).play().breaches()).as("%d members, seed %d", members, seed).isEmpty();
            }
        }
    }
}
