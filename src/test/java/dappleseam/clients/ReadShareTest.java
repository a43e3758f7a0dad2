package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReadShareTest {
    private final ManualIoLoop loop = new ManualIoLoop();
    private final ReadShare share = new ReadShare(loop);

    /** Three hundred clients that send at full speed kept the others waiting for seconds. */
    @Test
    void aTurnStaysShortHoweverManyClientsSendFast() {
        int read = 0;
        for (int i = 0; i < 300; i++) {
            int bytes = share.passBytes();
            share.add(bytes);
            read += bytes;
        }
        assertThat(share.isUsedUp()).isTrue();
        assertThat(read).isLessThan(150 << 10);
        assertThat(share.passBytes()).as("a client that sends little is served all the same").isPositive();
    }

    @Test
    void theNextTurnHasAllBytesAgain() {
        int first = share.passBytes();
        for (int turn = 0; turn < 3; turn++) {
            while (!share.isUsedUp()) {
                share.add(first);
            }
            loop.runDue();
            assertThat(share.isUsedUp()).isFalse();
            assertThat(share.passBytes()).isEqualTo(first);
        }
        assertThat(loop.scheduled).isEmpty();
    }
}
