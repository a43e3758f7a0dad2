package dappleseam.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.Option;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.conduits.EmptyStreamSourceConduit;
import org.xnio.conduits.NullStreamSinkConduit;

class LinkTest {
    /** A connection that tells which thread closed it. */
    private static final class Closing extends StreamConnection {
        final BlockingQueue<Thread> closedBy = new LinkedBlockingQueue<>();

        Closing(XnioIoThread thread) {
            super(thread);
            setSourceConduit(new EmptyStreamSourceConduit(thread));
            setSinkConduit(new NullStreamSinkConduit(thread));
        }

        @Override
        protected void closeAction() {
            closedBy.add(Thread.currentThread());
        }

        @Override
        public SocketAddress getLocalAddress() {
            return null;
        }

        @Override
        public SocketAddress getPeerAddress() {
            return null;
        }

        @Override
        public boolean supportsOption(Option<?> option) {
            return false;
        }

        @Override
        public <T> T getOption(Option<T> option) {
            return null;
        }

        @Override
        public <T> T setOption(Option<T> option, T value) {
            return null;
        }
    }

    /** Guards the queries that are served meanwhile: each close on the I/O thread is a select over all that is ready. */
    @Test
    void theIoThreadDoesNotCloseConnections() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        Closing connection = new Closing(worker.getIoThread());
        Link link = new Link(connection, new BufferPool(1), ByteBuffer.allocate(1), new Link.Listener() {
            @Override
            public void received(ByteBuffer bytes) {}

            @Override
            public void disconnected(String cause) {}
        });
        worker.getIoThread().execute(link::close);
        assertThat(connection.closedBy.poll(20, TimeUnit.SECONDS)).isNotNull().isNotSameAs(worker.getIoThread());
        worker.shutdownNow();
    }
}
