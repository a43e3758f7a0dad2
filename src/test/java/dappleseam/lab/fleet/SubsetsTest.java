package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.SubsetMeasurement.Strategy;
import org.junit.jupiter.api.Test;

/** Places beside the baselines, over a few draws of traffic. */
class SubsetsTest {
    @Test
    void placesAreMoreEvenThanChanceAndMoveFewerThanNumbers() {
        double[] peaks = new double[Strategy.values().length];
        double[] moved = new double[Strategy.values().length];
        for (long seed = 1; seed <= 20; seed++) {
            for (Strategy way : Strategy.values()) {
                SubsetMeasurement.Result found = new SubsetMeasurement(200, 1, 8, seed).measure(way);
                peaks[way.ordinal()] += found.peak() / 20;
                moved[way.ordinal()] += found.moved() / 20;
            }
        }
        assertThat(peaks[Strategy.PLACES.ordinal()]).isLessThan(1.1).isLessThan(peaks[Strategy.CHANCE.ordinal()] - 0.1).isLessThan(peaks[Strategy.RENDEZVOUS.ordinal()] - 0.1)
                .isLessThan(peaks[Strategy.DETERMINISTIC.ordinal()]);
        assertThat(moved[Strategy.PLACES.ordinal()]).isLessThan(10).isLessThan(moved[Strategy.DETERMINISTIC.ordinal()] / 10);
    }

    @Test
    void eachLocationsCopiesAreServedEvenlyAndSoAreAllTogether() {
        double near = 0;
        double nearOnOneLine = 0;
        double all = 0;
        for (long seed = 1; seed <= 20; seed++) {
            SubsetMeasurement subsets = new SubsetMeasurement(300, 3, 8, seed);
            near += subsets.measure(Strategy.PLACES).locationPeak() / 20;
            all += subsets.measure(Strategy.PLACES).peak() / 20;
            nearOnOneLine += subsets.measure(Strategy.ONE_LINE).locationPeak() / 20;
        }
        assertThat(near).isLessThan(1.2).isLessThan(nearOnOneLine - 0.1);
        assertThat(all).isLessThan(1.1);
    }
}
