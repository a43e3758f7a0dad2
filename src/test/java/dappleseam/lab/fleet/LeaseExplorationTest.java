package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.fleet.LeaseExploration.RandomWalk;
import dappleseam.lab.fleet.LeaseModel.PlantedLeaseFault;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Model checking of the shipped lease modules; {@code lab leases} searches deeper and plays more walks. */
class LeaseExplorationTest {
    private static final int STEPS = 500;

    private static List<RandomWalk> walks(int candidates, boolean disks, boolean changing, PlantedLeaseFault planted, int seeds) {
        LeaseExploration exploration = new LeaseExploration(candidates, disks, changing, planted);
        return LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> exploration.walk(seed, STEPS)).toList();
    }

    @ParameterizedTest
    @CsvSource({"2, false, false", "3, false, false", "2, true, false", "3, true, false", "2, false, true", "3, true, true"})
    void noRandomWalkBreaksALease(int candidates, boolean disks, boolean changing) {
        List<RandomWalk> walks = walks(candidates, disks, changing, PlantedLeaseFault.NONE, 3000);
        assertThat(walks).allMatch(w -> w.violation() == null, "no violation");
        assertThat(walks.stream().mapToInt(RandomWalk::acquisitions).sum()).as("leases were acquired").isGreaterThan(3000);
    }

    @Test
    void noEventOrderBreaksALease() {
        LeaseExploration.Result large = new LeaseExploration(2, false, false, PlantedLeaseFault.NONE).searchAll(4, 1, true);
        assertThat(large.violation()).isNull();
        assertThat(large.states()).isGreaterThan(15_000);
        LeaseExploration.Result changing = new LeaseExploration(2, false, true, PlantedLeaseFault.NONE).searchAll(3, 2, true);
        assertThat(changing.violation()).isNull();
        LeaseExploration.Result small = new LeaseExploration(2, false, false, PlantedLeaseFault.NONE).searchAll(5, 1, false);
        assertThat(small.violation()).isNull();
    }

    /** Each planted fault has to be found; otherwise the check could not fail. */
    @ParameterizedTest
    @CsvSource({"NO_MARGIN, false, 5000, two candidates act at once", "FORGETFUL, false, 5000, two candidates act at once", "EARLY_CHECK, false, 5000, two candidates act at once",
        "MINORITY, false, 500, two candidates act at once", "NO_FENCE, false, 20000, the resource accepted", "LATE_FORCE, true, 3000, a token did not increase",
        "EVER_CLOSED, true, 36000, two candidates act at once", "WRONG_ORDER, false, 5000, two candidates act at once",
        "UNSTATED_LEASE_TIME, false, 10000, two candidates act at once"})
    void aPlantedFaultIsDetected(PlantedLeaseFault planted, boolean disks, int seeds, String expectedViolation) {
        boolean changing = planted == PlantedLeaseFault.WRONG_ORDER || planted == PlantedLeaseFault.UNSTATED_LEASE_TIME;
        assertThat(walks(2, disks, changing, planted, seeds)).anyMatch(w -> w.violation() != null && w.violation().startsWith(expectedViolation));
    }

    @Test
    void theResourceStaysSafeWithClocksBeyondTheirBound() {
        List<RandomWalk> walks = walks(2, false, false, PlantedLeaseFault.OVER_BOUND, 5000);
        assertThat(walks.stream().mapToInt(RandomWalk::overlaps).sum()).as("two candidates held the lease at once").isPositive();
        assertThat(walks).allMatch(w -> w.violation() == null, "the resource accepted no older token");
    }

    @Test
    void aFailingWalkIsShrunkAndStillFails() {
        LeaseExploration exploration = new LeaseExploration(2, false, false, PlantedLeaseFault.MINORITY);
        RandomWalk failed = walks(2, false, false, PlantedLeaseFault.MINORITY, 500).stream().filter(w -> w.violation() != null).findFirst().orElseThrow();
        assertThat(exploration.shrink(failed).size()).isLessThan(failed.path().size());
        assertThat(exploration.walk(failed.seed(), STEPS).violation()).as("a seed replays exactly").isEqualTo(failed.violation());
    }
}
