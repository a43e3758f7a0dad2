package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.clients.ClientFrontend;
import dappleseam.clients.IoThreadRunner;
import dappleseam.clients.ManualIoLoop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.StreamConnection;

class ShutdownTest {
    private static final String QUERY = "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n";

    /** Runs one shutdown; returns when it first aborted queries and when it ended, in ms after the signal. */
    private static List<Double> runShutdown(double signalledMsAgo, double killAfterMs) throws Exception {
        return IoThreadRunner.run((worker, seen) -> {
            ManualIoLoop loop = new ManualIoLoop();
            ClientFrontend front = new ClientFrontend(loop, loop, 100, 10, loop.closes, () -> true);
            front.listen(worker, new InetSocketAddress("127.0.0.1", 0));
            ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
            pipe.getRightSide().getSinkChannel().write(ByteBuffer.wrap(QUERY.getBytes(StandardCharsets.US_ASCII)));
            front.addClient(pipe.getLeftSide());
            double signalledAt = loop.now - signalledMsAgo;
            List<Double> times = new ArrayList<>();
            Shutdown shutdown = new Shutdown(loop, front, () -> {
                times.add(loop.now - signalledAt);
                loop.replies.forEach(one -> one.replyLine("-ERR"));
            }, () -> seen.complete(List.of(times.get(0), loop.now - signalledAt)));
            shutdown.begin(false, signalledMsAgo, killAfterMs);
            loop.advanceTo(loop.now + killAfterMs);
        });
    }

    /** The platform counts from the signal, however late the I/O thread reacts: the shutdown has to end before the kill. */
    @Test
    void openQueriesAreAbortedBeforeTheKillHoweverLateTheLoopIs() throws Exception {
        for (double late : new double[] {0, 300, 3300}) {
            List<Double> times = runShutdown(late, 3700);
            assertThat(times.get(0)).isBetween(3500.0, 3520.0);
            assertThat(times.get(1)).isBetween(3500.0, 3610.0);
        }
        assertThat(runShutdown(800, 800).get(1)).isEqualTo(800.0); // at once
    }

    /** Short statement timeouts leave less time; the states are still entered in order. */
    @Test
    void shortKillDelayIsEnough() throws Exception {
        List<Double> times = runShutdown(0, 800);
        assertThat(times.get(0)).isBetween(600.0, 620.0);
        assertThat(times.get(1)).isBetween(600.0, 710.0);
    }
}
