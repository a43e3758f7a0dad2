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

/** Random fault histories, generated and shrunk: the membership keeps its guarantees whatever the faults. */
class FaultHistoryTest {
    @Provide
    Arbitrary<FaultHistory> histories() {
        Arbitrary<Step> step = Combinators.combine(Arbitraries.of(Kind.class), Arbitraries.integers().between(0, 5), Arbitraries.integers().between(0, 5),
                Arbitraries.integers().between(0, 15), Arbitraries.integers().between(1, 300))
                .as((kind, a, b, afterS, tenths) -> new Step(kind, a, b, afterS * 1000.0, tenths * 100.0));
        return Combinators.combine(Arbitraries.longs(), step.list().ofMaxSize(8)).as((seed, steps) -> new FaultHistory(6, seed, steps));
    }

    @Property(tries = 300, seed = "20261201", edgeCases = EdgeCasesMode.NONE)
    void noHistoryBreaksAGuarantee(@ForAll("histories") FaultHistory history) {
        assertThat(history.play().breaches()).isEmpty();
    }

    @Property(tries = 150, seed = "20261202", edgeCases = EdgeCasesMode.NONE)
    void sharesAddUpToOneAndNoMemberStarves(@ForAll("histories") FaultHistory history) {
        FaultHistory.Outcome outcome = history.withShares().play();
        assertThat(outcome.breaches()).isEmpty();
        assertThat(outcome.shareTotals().highest()).isLessThan(1 + ViewChecker.shareMargin(6));
        assertThat(outcome.shareTotals().lowestShare()).as("half of an even share").isGreaterThan(ShareCalculator.EVEN_PART - 1e-9);
    }

    /** Without the others' traffic, each member takes its own for all traffic of the fleet, so the shares add up to more than one. */
    @Test
    void sharesAboveOneAreDetected() {
        assertThat(FaultHistory.generate(3, 6, 4).withShares().play(PlantedFault.NO_RATES).shareTotals().highest()).isGreaterThan(1 + ViewChecker.shareMargin(6));
    }

    /** The absence of each safeguard is detected, and the failing history can be shrunk to fewer steps. */
    @ParameterizedTest
    @EnumSource(value = PlantedFault.class, names = {"NO_REFUTATION", "NO_MERGE"})
    void aRemovedSafeguardIsDetected(PlantedFault plantedFault) {
        FaultHistory failing = null;
        for (long seed = 1; seed <= 200 && failing == null; seed++) {
            FaultHistory candidate = FaultHistory.generate(seed, 6, 8);
            failing = candidate.play(plantedFault).breaches().isEmpty() ? null : candidate;
        }
        assertThat(failing).isNotNull();
        FaultHistory shortest = failing.shrink(plantedFault);
        assertThat(shortest.play(plantedFault).breaches()).isNotEmpty();
        assertThat(shortest.steps().size()).isLessThan(failing.steps().size());
    }

    @Test
    void aSeedIsReproducible() {
        FaultHistory history = FaultHistory.generate(7, 6, 8);
        assertThat(history).isEqualTo(FaultHistory.generate(7, 6, 8));
        assertThat(history.play().datagrams()).isEqualTo(history.play().datagrams());
    }

    @Test
    void otherFleetSizesKeepTheGuarantees() {
        for (int members : List.of(2, 3, 12, 25)) {
            for (long seed = 1; seed <= 25; seed++) {
                assertThat(FaultHistory.generate(seed, members, 8).play().breaches()).as("%d members, seed %d", members, seed).isEmpty();
            }
        }
    }
}
