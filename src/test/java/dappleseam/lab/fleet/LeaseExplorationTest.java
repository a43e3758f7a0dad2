package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.LeaseExploration.Walk;
import dappleseam.lab.fleet.LeaseWorld.Planted;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Model checking of the shipped lease modules; {@code lab leases} searches deeper and plays more walks. */
class LeaseExplorationTest {
    private static final int STEPS = 500;

    private static List<Walk> walks(int candidates, boolean disks, boolean changing, Planted planted, int seeds) {
        LeaseExploration exploration = new LeaseExploration(candidates, disks, changing, planted);
        return LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> exploration.walk(seed, STEPS)).toList();
    }

    @ParameterizedTest
    @CsvSource({"2, false, false", "3, false, false", "2, true, false", "3, true, false", "2, false, true", "3, true, true"})
    void noRandomWayBreaksALease(int candidates, boolean disks, boolean changing) {
        List<Walk> walks = walks(candidates, disks, changing, Planted.NONE, 3000);
        assertThat(walks).allMatch(w -> w.broken() == null, "no violation");
        assertThat(walks.stream().mapToInt(Walk::takes).sum()).as("leases were acquired").isGreaterThan(3000);
    }

    @Test
    void noOrderOfEventsBreaksALease() {
        LeaseExploration.Found large = new LeaseExploration(2, false, false, Planted.NONE).exhaust(4, 1, true);
        assertThat(large.broken()).isNull();
        assertThat(large.states()).isGreaterThan(15_000);
        LeaseExploration.Found changing = new LeaseExploration(2, false, true, Planted.NONE).exhaust(3, 2, true);
        assertThat(changing.broken()).isNull();
        LeaseExploration.Found small = new LeaseExploration(2, false, false, Planted.NONE).exhaust(5, 1, false);
        assertThat(small.broken()).isNull();
    }

    /** Each planted fault has to be found; otherwise the check could not fail. */
    @ParameterizedTest
    @CsvSource({"NO_MARGIN, false, 5000, two candidates act at once", "FORGETFUL, false, 5000, two candidates act at once", "EARLY_CHECK, false, 5000, two candidates act at once",
        "MINORITY, false, 500, two candidates act at once", "NO_FENCE, false, 20000, the resource accepted", "LATE_FORCE, true, 3000, a token did not increase",
        "EVER_CLOSED, true, 36000, two candidates act at once", "WRONG_ORDER, false, 5000, two candidates act at once"})
    void aPlantedFaultIsFound(Planted planted, boolean disks, int seeds, String what) {
        assertThat(walks(2, disks, planted == Planted.WRONG_ORDER, planted, seeds)).anyMatch(w -> w.broken() != null && w.broken().startsWith(what));
    }

    @Test
    void clocksOverTheirBoundLeaveTheResourceRight() {
        List<Walk> walks = walks(2, false, false, Planted.OVER_BOUND, 5000);
        assertThat(walks.stream().mapToInt(Walk::overlaps).sum()).as("two candidates held the lease at once").isPositive();
        assertThat(walks).allMatch(w -> w.broken() == null, "the resource accepted no older token");
    }

    @Test
    void whatBreaksIsShrunkAndStillBreaks() {
        LeaseExploration exploration = new LeaseExploration(2, false, false, Planted.MINORITY);
        Walk failed = walks(2, false, false, Planted.MINORITY, 500).stream().filter(w -> w.broken() != null).findFirst().orElseThrow();
        assertThat(exploration.shrink(failed).size()).isLessThan(failed.path().size());
        assertThat(exploration.walk(failed.seed(), STEPS).broken()).as("a seed replays exactly").isEqualTo(failed.broken());
    }
}
