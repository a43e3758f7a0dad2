package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.query.Command;
import dappleseam.router.QueryId;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class ClientFrontTest {
    private static final String ASKED = "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n";

    /** A loop whose time passes when the test says so; it stands in for the queries' side, too. */
    private static final class ByHand implements Loop, Queries {
        final List<Map.Entry<Double, Runnable>> due = new ArrayList<>();
        final List<Owed> owed = new ArrayList<>();
        final BufferPool pool = new BufferPool(8);
        double now = 1000;

        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public Deadline at(double whenMs, Runnable then) {
            due.add(Map.entry(whenMs, then));
            return () -> { };
        }

        void pass(double untilMs) {
            for (; now < untilMs; now++) {
                List.copyOf(due).stream().filter(d -> d.getKey() <= now && due.remove(d)).forEach(d -> d.getValue().run());
            }
        }

        @Override
        public Deadline dial(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                             Consumer<String> failed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean mayDial() {
            return false;
        }

        @Override
        public Link link(StreamConnection connection, Link.Events events) {
            return new Link(connection, pool, ByteBuffer.allocate(1024), events);
        }

        @Override
        public BufferPool pool() {
            return pool;
        }

        @Override
        public QueryId take(Command command, Owed one) {
            owed.add(one);
            return new QueryId(owed.size());
        }

        @Override
        public void clientLeft(QueryId id) {}
    }

    /** Guards a busy proxy against closing what it has to accept again at once. */
    @Test
    void aClientThatHasJustBeenAnsweredDoesNotMakeWay() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CompletableFuture<List<Boolean>> kept = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                List<Boolean> has = new ArrayList<>();
                for (double until : new double[] {1200, 1800}) {
                    ByHand loop = new ByHand();
                    ClientFront front = new ClientFront(loop, loop, 100, 1); // no room for any that is idle
                    ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                    pipe.getRightSide().getSinkChannel().write(ByteBuffer.wrap(ASKED.getBytes(StandardCharsets.US_ASCII)));
                    front.opened(pipe.getLeftSide());
                    loop.owed.get(0).line("+OK");
                    loop.pass(until);
                    has.add(front.hasClients());
                }
                kept.complete(has);
            } catch (IOException | RuntimeException e) {
                kept.completeExceptionally(e);
            }
        });
        assertThat(kept.get()).containsExactly(true, false);
        worker.shutdownNow();
    }
}
