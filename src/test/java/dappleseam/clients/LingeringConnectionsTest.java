package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.wire.Link;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.StreamConnection;

class LingeringConnectionsTest {
    private static final int MAX = 3;

    private interface Scenario {
        Object run(ManualIoLoop loop, LingeringConnections lingering, List<Link> links) throws IOException;
    }

    private static Object runScenario(Scenario scenario) throws Exception {
        return IoThreadRunner.run((worker, result) -> {
            ManualIoLoop loop = new ManualIoLoop();
            List<Link> links = new ArrayList<>();
            for (int i = 0; i < 2 * MAX; i++) {
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                links.add(loop.createLink(pipe.getLeftSide(), new IgnoringListener()));
            }
            result.complete(scenario.run(loop, new LingeringConnections(loop), links));
        });
    }

    private static final class IgnoringListener implements Link.Listener {
        @Override
        public void received(ByteBuffer bytes) {
            throw new AssertionError("input after the end");
        }

        @Override
        public void disconnected(String cause) {
            throw new AssertionError("an event after the end");
        }
    }

    /** However many clients never close, their descriptors are bounded, and freed in the end; those that may still be reading are kept longest. */
    @Test
    void connectionsThatClientsNeverCloseAreBounded() throws Exception {
        assertThat(runScenario((loop, lingering, links) -> {
            List<Integer> counts = new ArrayList<>();
            for (int i = 0; i < links.size(); i++) {
                lingering.add(links.get(i), i % 2 == 0, MAX);
                counts.add(lingering.count());
            }
            boolean hasSmall = lingering.closeOne(false);
            boolean hasSecondSmall = lingering.closeOne(false);
            boolean hasLarge = lingering.hasLargeReply() && lingering.closeOne(true);
            loop.advanceTo(loop.now + 30_000);
            return List.of(counts, hasSmall, hasSecondSmall, hasLarge, lingering.count(), loop.scheduled.size());
        })).isEqualTo(List.of(List.of(1, 2, 3, 3, 3, 3), true, false, true, 0, 0));
    }
}
