package dappleseam.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
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
        new Link(connection, new BufferPool(1), ByteBuffer.allocate(1), connection.getIoThread(), new Link.Listener() {
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

    /** A callback of a listener, and the event that leads to it. */
    private enum Callback {
        READ_ALLOWANCE, RECEIVED, READ_COMPLETE, FLUSHED, END_OF_STREAM, DISCONNECTED, GUARDED_TASK
    }

    /** Throws an error in one callback, and counts the calls that tell it of the end. */
    private static final class ThrowingListener implements Link.Listener {
        private final Callback failing;
        int failures;

        ThrowingListener(Callback failing) {
            this.failing = failing;
        }

        private void called(Callback callback) {
            if (callback == failing) {
                throw new StackOverflowError("planted");
            }
        }

        @Override
        public int readAllowance(long passBytes) {
            called(Callback.READ_ALLOWANCE);
            return Integer.MAX_VALUE;
        }

        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
            called(Callback.RECEIVED);
        }

        @Override
        public void readComplete() {
            called(Callback.READ_COMPLETE);
        }

        @Override
        public void flushed() {
            called(Callback.FLUSHED);
        }

        @Override
        public void endOfStream() {
            called(Callback.END_OF_STREAM);
        }

        @Override
        public void disconnected(String cause) {
            called(Callback.DISCONNECTED);
        }

        @Override
        public void failed(Throwable error) {
            failures++;
        }
    }

    /** Guards against an error in a callback that leaves its connection half handled and open: clients held their places for good. */
    @ParameterizedTest
    @EnumSource
    void errorInACallbackClosesTheConnection(Callback failing) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CloseRecordingConnection connection = new CloseRecordingConnection(worker.getIoThread());
        if (failing == Callback.DISCONNECTED) {
            connection.setSource(new FailingSource(worker.getIoThread()));
        } else if (failing != Callback.END_OF_STREAM) {
            connection.setSource(new CountedReads(worker.getIoThread(), 1));
        }
        ThrowingListener listener = new ThrowingListener(failing);
        BlockingQueue<Boolean> closed = new LinkedBlockingQueue<>();
        worker.getIoThread().execute(() -> {
            Link link = new Link(connection, new BufferPool(1), ByteBuffer.allocate(1), connection.getIoThread(), listener);
            if (failing == Callback.FLUSHED) {
                link.flush();
            } else if (failing == Callback.GUARDED_TASK) {
                link.guarded(() -> listener.called(Callback.GUARDED_TASK)).run();
            } else {
                link.readAvailable();
            }
            closed.add(link.isClosed()); // reached, as nothing is thrown
        });
        assertThat(closed.poll(20, TimeUnit.SECONDS)).isEqualTo(true);
        boolean wasTold = failing == Callback.END_OF_STREAM || failing == Callback.DISCONNECTED;
        assertThat(listener.failures).isEqualTo(wasTold ? 0 : 1);
        worker.shutdownNow();
    }

    /** A source whose connection has failed. */
    private static final class FailingSource extends AbstractStreamSourceConduit<EmptyStreamSourceConduit> {
        FailingSource(XnioIoThread thread) {
            super(new EmptyStreamSourceConduit(thread));
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            throw new IOException("planted");
        }
    }

    /**
     * Random orders of arriving parts, signals, pauses and resumes: whenever nothing more is due to happen, all input that arrived has been delivered and
     * reported as complete, unless the listener has paused the connection.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noInputStandsStillInRandomOrders(int seed) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            for (int i = 0; i < 50; i++) {
                new RandomInput(worker.getIoThread(), new SplittableRandom(1000L * seed + i)).run();
            }
        } finally {
            worker.shutdownNow();
        }
    }

    /** One connection whose input arrives in random parts, with a selector that signals only what is left in the socket. */
    private static final class RandomInput implements Link.Listener {
        private static final int STEPS = 200;

        private final SplittableRandom random;
        private final ArrayDeque<Runnable> nextTurn = new ArrayDeque<>();
        private final Link link;
        private int inSocket;
        private int arrived;
        private int delivered;
        private int complete;
        private boolean readsResumed;
        private boolean isDeliveryPaused;
        private boolean isReadingPaused;

        RandomInput(XnioIoThread thread, SplittableRandom random) {
            this.random = random;
            CloseRecordingConnection connection = new CloseRecordingConnection(thread);
            connection.setSource(new Source(thread));
            link = new Link(connection, new BufferPool(1), ByteBuffer.allocate(3), nextTurn::add, this);
            link.resume();
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                int count = random.nextInt(random.nextInt(10) == 0 ? 60 : 12);
                inSocket += count;
                arrived += count;
                if (random.nextInt(3) == 0) {
                    resumeIfPaused();
                }
                turn();
                if (isQuiet() && !isPaused()) {
                    assertNothingStands();
                }
            }
            resumeIfPaused();
            while (isPaused() || !isQuiet()) {
                resumeIfPaused();
                turn();
            }
            assertNothingStands();
        }

        /** Whether neither the selector nor a task will do anything more. */
        private boolean isQuiet() {
            return nextTurn.isEmpty() && (inSocket == 0 || !readsResumed);
        }

        private void assertNothingStands() {
            assertThat(delivered).isEqualTo(arrived);
            assertThat(complete).isEqualTo(arrived);
        }

        private void resumeIfPaused() {
            if (isPaused()) {
                isDeliveryPaused = false;
                isReadingPaused = false;
                link.resume();
            }
        }

        private boolean isPaused() {
            return isDeliveryPaused || isReadingPaused;
        }

        /** One select: a connection with input is served first, then what was left for the next turn. */
        private void turn() {
            if (inSocket > 0 && readsResumed) {
                link.readAvailable();
            }
            int due = nextTurn.size();
            for (int i = 0; i < due; i++) {
                nextTurn.poll().run();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            delivered += bytes.remaining();
            bytes.position(bytes.limit());
            if (random.nextInt(8) == 0 && !isPaused()) {
                isDeliveryPaused = true;
                link.pauseDelivery();
            } else if (random.nextInt(8) == 0 && !isPaused()) {
                isReadingPaused = true;
                link.pauseReading();
            }
        }

        @Override
        public void disconnected(String cause) {
            throw new AssertionError(cause);
        }

        @Override
        public void readComplete() {
            complete = delivered;
        }

        private final class Source extends AbstractStreamSourceConduit<EmptyStreamSourceConduit> {
            Source(XnioIoThread thread) {
                super(new EmptyStreamSourceConduit(thread));
            }

            @Override
            public int read(ByteBuffer into) {
                int count = Math.min(inSocket, Math.min(into.remaining(), 1 + random.nextInt(3)));
                for (int i = 0; i < count; i++) {
                    into.put((byte) 'x');
                }
                inSocket -= count;
                return count;
            }

            @Override
            public void resumeReads() {
                readsResumed = true;
            }

            @Override
            public void suspendReads() {
                readsResumed = false;
            }
        }
    }

    /** Closing on the I/O thread costs a select over all ready connections each time, which delays other queries. */
    @Test
    void theIoThreadDoesNotCloseConnections() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CloseRecordingConnection connection = new CloseRecordingConnection(worker.getIoThread());
        Link link = new Link(connection, new BufferPool(1), ByteBuffer.allocate(1), connection.getIoThread(), new Link.Listener() {
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
