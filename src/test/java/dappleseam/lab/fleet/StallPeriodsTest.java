package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StallPeriodsTest {
    @Test
    void overlappingPeriodsCountOnceAndIncludeTheGracePeriod() {
        StallPeriods stallPeriods = new StallPeriods(500);
        stallPeriods.addStall(2000, 300); // 1700 to 2500
        stallPeriods.addStall(2200, 100); // 2100 to 2700
        stallPeriods.addStall(9000, 1000); // 8000 to 9500
        assertThat(stallPeriods.overlapMs(0, 5000)).isEqualTo(1000);
        assertThat(stallPeriods.overlapMs(2000, 8500)).isEqualTo(700 + 500);
        assertThat(stallPeriods.overlapMs(3000, 4000)).isZero();
    }
}
