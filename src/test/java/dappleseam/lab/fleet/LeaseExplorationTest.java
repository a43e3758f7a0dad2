package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.LeaseExploration.RandomWalk;
import dappleseam.lab.fleet.LeaseModel.PlantedLeaseFault;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Leases by model checking of the shipped modules; {@code lab leases} goes deeper and longer. */
class LeaseExplorationTest {
    private static final int STEPS = 500;

    private static List<RandomWalk> walks(int candidates, boolean disks, boolean changing, PlantedLeaseFault planted, int seeds) {
        LeaseExploration exploration = new LeaseExploration(candidates, disks, changing, planted);
        return LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> exploration.walk(seed, STEPS)).toList();
    }

    @ParameterizedTest
    @CsvSource({"2, false, false", "3, false, false", "2, true, false", "3, true, false", "2, false, true", "3, true, true"})
    void noRandomWayBreaksALease(int candidates, boolean disks, boolean changing) {
        List<RandomWalk> walks = walks(candidates, disks, changing, PlantedLeaseFault.NONE, 3000);
        assertThat(walks).allMatch(w -> w.violation() == null, "unbroken");
        assertThat(walks.stream().mapToInt(RandomWalk::acquisitions).sum()).as("leases were taken").isGreaterThan(3000);
    }

    @Test
    void noOrderOfEventsBreaksALease() {
        LeaseExploration.Result large = new LeaseExploration(2, false, false, PlantedLeaseFault.NONE).searchAll(4, 1, true);
        assertThat(large.violation()).isNull();
        assertThat(large.states()).isGreaterThan(15_000);
        LeaseExploration.Result changing = new LeaseExploration(2, false, true, PlantedLeaseFault.NONE).searchAll(3, 2, true);
        assertThat(changing.violation()).isNull();
        LeaseExploration.Result small = new LeaseExploration(2, false, false, PlantedLeaseFault.NONE).searchAll(5, 1, false);
        assertThat(small.violation()).isNull();
    }

    /** Each fault that is built in is found, or the check could not fail. */
    @ParameterizedTest
    @CsvSource({"NO_MARGIN, false, 5000, two act at once", "FORGETFUL, false, 5000, two act at once", "EARLY_CHECK, false, 5000, two act at once",
        "MINORITY, false, 500, two act at once", "NO_FENCE, false, 20000, the resource took", "LATE_FORCE, true, 3000, a token did not grow",
        "EVER_CLOSED, true, 36000, two act at once", "WRONG_ORDER, false, 5000, two act at once"})
    void aPlantedFaultIsFound(PlantedLeaseFault planted, boolean disks, int seeds, String what) {
        assertThat(walks(2, disks, planted == PlantedLeaseFault.WRONG_ORDER, planted, seeds)).anyMatch(w -> w.violation() != null && w.violation().startsWith(what));
    }

    @Test
    void clocksOverTheirBoundLeaveTheResourceRight() {
        List<RandomWalk> walks = walks(2, false, false, PlantedLeaseFault.OVER_BOUND, 5000);
        assertThat(walks.stream().mapToInt(RandomWalk::overlaps).sum()).as("two did think that they hold it").isPositive();
        assertThat(walks).allMatch(w -> w.violation() == null, "the resource took nothing older");
    }

    @Test
    void whatBreaksIsShrunkAndStillBreaks() {
        LeaseExploration exploration = new LeaseExploration(2, false, false, PlantedLeaseFault.MINORITY);
        RandomWalk failed = walks(2, false, false, PlantedLeaseFault.MINORITY, 500).stream().filter(w -> w.violation() != null).findFirst().orElseThrow();
        assertThat(exploration.shrink(failed).size()).isLessThan(failed.path().size());
        assertThat(exploration.walk(failed.seed(), STEPS).violation()).as("a seed replays exactly").isEqualTo(failed.violation());
    }
}
