package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.Subsets.Way;
import org.junit.jupiter.api.Test;

/** Places beside the baselines, over a few draws of traffic. */
class SubsetsTest {
    @Test
    void placesAreMoreEvenThanChanceAndMoveFewerThanNumbers() {
        double[] peaks = new double[Way.values().length];
        double[] moved = new double[Way.values().length];
        for (long seed = 1; seed <= 20; seed++) {
            for (Way way : Way.values()) {
                Subsets.Found found = new Subsets(200, 8, seed).measure(way);
                peaks[way.ordinal()] += found.peak() / 20;
                moved[way.ordinal()] += found.moved() / 20;
            }
        }
        assertThat(peaks[Way.PLACES.ordinal()]).isLessThan(1.1).isLessThan(peaks[Way.CHANCE.ordinal()] - 0.1).isLessThan(peaks[Way.RENDEZVOUS.ordinal()] - 0.1)
                .isLessThan(peaks[Way.DETERMINISTIC.ordinal()]);
        assertThat(moved[Way.PLACES.ordinal()]).isLessThan(10).isLessThan(moved[Way.DETERMINISTIC.ordinal()] / 10);
    }
}
