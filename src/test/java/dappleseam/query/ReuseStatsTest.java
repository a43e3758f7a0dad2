package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReuseStatsTest {
    /** In a network that drops idle connections, four in ten connections idle for over 0.1 s broke at the next command. */
    @Test
    void connectionsIdleForTooLongAreSeldomReused() {
        ReuseStats reuse = new ReuseStats();
        for (int i = 0; i < 40; i++) {
            reuse.recordReuse(20, i % 20 == 0);
            reuse.recordReuse(300, i % 5 < 2);
        }
        int likely = 0;
        for (int i = 0; i < 32; i++) {
            assertThat(reuse.mayReuse(20)).isTrue();
            likely += reuse.mayReuse(300) ? 1 : 0;
        }
        assertThat(likely).isEqualTo(2);
        for (int i = 0; i < 60; i++) {
            reuse.recordReuse(300, false); // the network has recovered
        }
        assertThat(reuse.mayReuse(300)).isTrue();
    }
}
