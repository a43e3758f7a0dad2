package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DisturbancesTest {
    @Test
    void timesThatOverlapCountOnceAndDoubtCountsWithThem() {
        Disturbances disturbances = new Disturbances(500);
        disturbances.stoodStill(2000, 300); // 1700 to 2500
        disturbances.stoodStill(2200, 100); // 2100 to 2700
        disturbances.stoodStill(9000, 1000); // 8000 to 9500
        assertThat(disturbances.within(0, 5000)).isEqualTo(1000);
        assertThat(disturbances.within(2000, 8500)).isEqualTo(700 + 500);
        assertThat(disturbances.within(3000, 4000)).isZero();
    }
}
