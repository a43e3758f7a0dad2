package dappleseam.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
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
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.EmptyStreamSourceConduit;
import org.xnio.conduits.NullStreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

class LinkTest {
    /** A connection that records which thread closed it. */
    private static final class CloseRecordingConnection extends StreamConnection {
        final BlockingQueue<Thread> closedBy = new LinkedBlockingQueue<>();

        CloseRecordingConnection(XnioIoThread thread) {
            super(thread);
            setSourceConduit(new EmptyStreamSourceConduit(thread));
            setSinkConduit(new NullStreamSinkConduit(thread));
        }

        void setSource(StreamSourceConduit source) {
            setSourceConduit(source);
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

    /** Guards against input that stands in the program: nothing else tells of it if the last read allowed in a pass took the last byte. */
    @Test
    void inputIsCompleteThoughTheLastReadOfAPassTookTheLastByte() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        List<String> late = new ArrayList<>();
        for (int reads = 1; reads <= 20; reads++) {
            BlockingQueue<Integer> complete = new LinkedBlockingQueue<>();
            CloseRecordingConnection connection = new CloseRecordingConnection(worker.getIoThread());
            connection.setSource(new CountedReads(worker.getIoThread(), reads));
            worker.getIoThread().execute(() -> startReading(connection, complete));
            if (complete.poll(1, TimeUnit.SECONDS) == null) {
                late.add(reads + " reads");
            }
        }
        worker.shutdownNow();
        assertThat(late).isEmpty();
    }

    private static void startReading(StreamConnection connection, BlockingQueue<Integer> complete) {
        int[] received = new int[1];
        new Link(connection, new BufferPool(1), ByteBuffer.allocate(1), new Link.Listener() {
            @Override
            public void received(ByteBuffer bytes) {
                received[0] += bytes.remaining();
                bytes.position(bytes.limit());
            }

            @Override
            public void disconnected(String cause) {}

            @Override
            public void readComplete() {
                complete.add(received[0]);
            }
        }).readAvailable();
    }

    /** A source that gives one byte at each of so many reads, and is not ready after that. */
    private static final class CountedReads extends AbstractStreamSourceConduit<EmptyStreamSourceConduit> {
        private int left;

        CountedReads(XnioIoThread thread, int reads) {
            super(new EmptyStreamSourceConduit(thread));
            left = reads;
        }

        @Override
        public int read(ByteBuffer into) {
            if (left == 0) {
                return 0;
            }
            left--;
            into.put((byte) 'x');
            return 1;
        }
    }

    /** Closing on the I/O thread costs a select over all ready connections each time, which delays other queries. */
    @Test
    void theIoThreadDoesNotCloseConnections() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CloseRecordingConnection connection = new CloseRecordingConnection(worker.getIoThread());
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
