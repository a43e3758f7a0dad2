package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReuseTest {
    /** Guards commands against sharing a connection with one whose answer is spoilt. */
    @Test
    void troubleEndsSharingForAWhile() {
        Reuse reuse = new Reuse();
        assertThat(reuse.isCalm(1000)).isTrue();
        reuse.troubled(1000);
        assertThat(reuse.isCalm(2000)).isFalse();
        assertThat(reuse.isCalm(12_000)).isTrue();
    }

    /** litoral wide+reset+stale: four in ten connections idle for over 0.1 s broke at the next command. */
    @Test
    void connectionsIdleForTooLongAreSeldomUsedAgain() {
        Reuse reuse = new Reuse();
        for (int i = 0; i < 40; i++) {
            reuse.told(20, i % 20 == 0);
            reuse.told(300, i % 5 < 2);
        }
        int likely = 0;
        for (int i = 0; i < 32; i++) {
            assertThat(reuse.isLikely(20)).isTrue();
            likely += reuse.isLikely(300) ? 1 : 0;
        }
        assertThat(likely).isEqualTo(2);
        for (int i = 0; i < 60; i++) {
            reuse.told(300, false); // the trouble is over
        }
        assertThat(reuse.isLikely(300)).isTrue();
    }
}
