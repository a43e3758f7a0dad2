package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.SubsetMeasurement.Strategy;
import org.junit.jupiter.api.Test;

/** Compares the shipped traffic positions with the baselines over several random traffic distributions. */
class SubsetMeasurementTest {
    @Test
    void positionsAreMoreEvenThanRandomChoiceAndMoveFewerThanDeterministicSubsetting() {
        double[] peaks = new double[Strategy.values().length];
        double[] moved = new double[Strategy.values().length];
        for (long seed = 1; seed <= 20; seed++) {
            for (Strategy strategy : Strategy.values()) {
                SubsetMeasurement.Result found = new SubsetMeasurement(200, 1, 8, seed).measure(strategy);
                peaks[strategy.ordinal()] += found.peak() / 20;
                moved[strategy.ordinal()] += found.moved() / 20;
            }
        }
        assertThat(peaks[Strategy.PLACES.ordinal()]).isLessThan(1.1).isLessThan(peaks[Strategy.CHANCE.ordinal()] - 0.1).isLessThan(peaks[Strategy.RENDEZVOUS.ordinal()] - 0.1)
                .isLessThan(peaks[Strategy.DETERMINISTIC.ordinal()]);
        assertThat(moved[Strategy.PLACES.ordinal()]).isLessThan(10).isLessThan(moved[Strategy.DETERMINISTIC.ordinal()] / 10);
    }

    @Test
    void copiesAreUsedEvenlyPerLocationAndOverall() {
        double locationPeak = 0;
        double locationPeakOnOneLine = 0;
        double overallPeak = 0;
        for (long seed = 1; seed <= 20; seed++) {
            SubsetMeasurement subsets = new SubsetMeasurement(300, 3, 8, seed);
            locationPeak += subsets.measure(Strategy.PLACES).locationPeak() / 20;
            overallPeak += subsets.measure(Strategy.PLACES).peak() / 20;
            locationPeakOnOneLine += subsets.measure(Strategy.ONE_LINE).locationPeak() / 20;
        }
        assertThat(locationPeak).isLessThan(1.2).isLessThan(locationPeakOnOneLine - 0.1);
        assertThat(overallPeak).isLessThan(1.1);
    }
}
