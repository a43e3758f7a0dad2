package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReuseTest {
    /** Guards commands against sharing a connection with one whose answer is spoilt. */
    @Test
    void troubleEndsSharingForAWhile() {
        ReuseStats reuse = new ReuseStats();
        assertThat(reuse.isSharingSafe(1000)).isTrue();
        reuse.recordFailure(1000);
        assertThat(reuse.isSharingSafe(2000)).isFalse();
        assertThat(reuse.isSharingSafe(12_000)).isTrue();
    }

    /** litoral wide+reset+stale: four in ten connections idle for over 0.1 s broke at the next command. */
    @Test
    void connectionsIdleForTooLongAreSeldomUsedAgain() {
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
            reuse.recordReuse(300, false); // the trouble is over
        }
        assertThat(reuse.mayReuse(300)).isTrue();
    }
}
