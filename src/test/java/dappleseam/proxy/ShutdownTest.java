package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.clients.ManualIoLoop;
import dappleseam.clients.ClientFrontend;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class ShutdownTest {
    private static final String ASKED = "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n";

    /** What was seen of one shutdown: when it first aborted, and when it ended, counted from when the process was told. */
    private static List<Double> played(double toldMsAgo, double killAfterMs) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CompletableFuture<List<Double>> seen = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                ManualIoLoop loop = new ManualIoLoop();
                ClientFrontend front = new ClientFrontend(loop, loop, 100, 10);
                front.listen(worker, new InetSocketAddress("127.0.0.1", 0));
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                pipe.getRightSide().getSinkChannel().write(ByteBuffer.wrap(ASKED.getBytes(StandardCharsets.US_ASCII)));
                front.addClient(pipe.getLeftSide());
                double told = loop.now - toldMsAgo;
                List<Double> times = new ArrayList<>();
                Shutdown shutdown = new Shutdown(loop, front, () -> {
                    times.add(loop.now - told);
                    loop.replies.forEach(one -> one.replyLine("-ERR"));
                }, () -> seen.complete(List.of(times.get(0), loop.now - told)));
                shutdown.begin(false, toldMsAgo, killAfterMs);
                loop.advanceTo(loop.now + killAfterMs);
            } catch (Exception e) {
                seen.completeExceptionally(e);
            }
        });
        try {
            return seen.get();
        } finally {
            worker.shutdownNow();
        }
    }

    /** The platform counts from the signal, however late this thread hears of it: all is over before the kill. */
    @Test
    void whatIsOpenIsAbortedBeforeTheKillHoweverLateTheLoopHearsOfIt() throws Exception {
        for (double late : new double[] {0, 300, 3300}) {
            List<Double> times = played(late, 3700);
            assertThat(times.get(0)).isBetween(3500.0, 3520.0);
            assertThat(times.get(1)).isBetween(3500.0, 3610.0);
        }
        assertThat(played(800, 800).get(1)).isEqualTo(800.0); // at once
    }

    /** Deadlines that are short leave less time: the states come in their order all the same. */
    @Test
    void aShortTimeToTheKillIsEnough() throws Exception {
        List<Double> times = played(0, 800);
        assertThat(times.get(0)).isBetween(600.0, 620.0);
        assertThat(times.get(1)).isBetween(600.0, 710.0);
    }
}
