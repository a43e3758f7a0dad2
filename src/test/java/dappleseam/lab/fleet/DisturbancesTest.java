package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DisturbancesTest {
    @Test
    void timesThatOverlapCountOnceAndDoubtCountsWithThem() {
        StallPeriods disturbances = new StallPeriods(500);
        disturbances.addStall(2000, 300); // 1700 to 2500
        disturbances.addStall(2200, 100); // 2100 to 2700
        disturbances.addStall(9000, 1000); // 8000 to 9500
        assertThat(disturbances.overlapMs(0, 5000)).isEqualTo(1000);
        assertThat(disturbances.overlapMs(2000, 8500)).isEqualTo(700 + 500);
        assertThat(disturbances.overlapMs(3000, 4000)).isZero();
    }
}
