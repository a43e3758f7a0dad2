package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.Subsets.Way;
import org.junit.jupiter.api.Test;

/** Compares the shipped traffic positions with the baselines over several random traffic distributions. */
class SubsetsTest {
    @Test
    void placesAreMoreEvenThanChanceAndMoveFewerThanNumbers() {
        double[] peaks = new double[Way.values().length];
        double[] moved = new double[Way.values().length];
        for (long seed = 1; seed <= 20; seed++) {
            for (Way way : Way.values()) {
                Subsets.Found found = new Subsets(200, 1, 8, seed).measure(way);
                peaks[way.ordinal()] += found.peak() / 20;
                moved[way.ordinal()] += found.moved() / 20;
            }
        }
        assertThat(peaks[Way.PLACES.ordinal()]).isLessThan(1.1).isLessThan(peaks[Way.CHANCE.ordinal()] - 0.1).isLessThan(peaks[Way.RENDEZVOUS.ordinal()] - 0.1)
                .isLessThan(peaks[Way.DETERMINISTIC.ordinal()]);
        assertThat(moved[Way.PLACES.ordinal()]).isLessThan(10).isLessThan(moved[Way.DETERMINISTIC.ordinal()] / 10);
    }

    @Test
    void eachLocationsCopiesAreServedEvenlyAndSoAreAllTogether() {
        double near = 0;
        double nearOnOneLine = 0;
        double all = 0;
        for (long seed = 1; seed <= 20; seed++) {
            Subsets subsets = new Subsets(300, 3, 8, seed);
            near += subsets.measure(Way.PLACES).near() / 20;
            all += subsets.measure(Way.PLACES).peak() / 20;
            nearOnOneLine += subsets.measure(Way.ONE_LINE).near() / 20;
        }
        assertThat(near).isLessThan(1.2).isLessThan(nearOnOneLine - 0.1);
        assertThat(all).isLessThan(1.1);
    }
}
