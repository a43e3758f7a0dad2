package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReuseTest {
    /** After a corrupt answer, commands must not share a connection, as the failure would affect all of them. */
    @Test
    void troubleEndsSharingForAWhile() {
        Reuse reuse = new Reuse();
        assertThat(reuse.isCalm(1000)).isTrue();
        reuse.troubled(1000);
        assertThat(reuse.isCalm(2000)).isFalse();
        assertThat(reuse.isCalm(12_000)).isTrue();
    }

    /** In a network that drops idle connections, four in ten connections idle for over 0.1 s broke at the next command. */
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
            reuse.told(300, false); // the network has recovered
        }
        assertThat(reuse.isLikely(300)).isTrue();
    }
}
