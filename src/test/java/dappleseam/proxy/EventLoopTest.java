package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

class EventLoopTest {
    private static final int DIALS = 20_000;
    private static final int CONCURRENT_DIALS = 64;
    private static final int CLOSERS = 5;
    private static final int BUSY_TIMERS = 20;
    private static final long BUSY_NANOS = 2_000_000;

    /** A late thread, as right after a start, has to read pending answers before it runs timeouts; otherwise nodes that answered count as silent. */
    @Test
    void lateThreadReadsBeforeItRunsDeadlines() throws Exception {
        BlockingQueue<String> happened = new LinkedBlockingQueue<>();
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        worker.getIoThread().execute(() -> {
            try {
                EventLoop loop = new EventLoop(worker.getIoThread(), new BufferPool(8), 1);
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                loop.createLink(pipe.getLeftSide(), new Link.Listener() {
                    @Override
                    public void received(ByteBuffer bytes) {
                        happened.add("read");
                    }

                    @Override
                    public void disconnected(String cause) {}
                }).resume();
                loop.scheduleAt(loop.nowMs() + 5, () -> happened.add("due"));
                pipe.getRightSide().getSinkChannel().write(ByteBuffer.wrap(new byte[1]));
                Thread.sleep(50);
            } catch (IOException | InterruptedException e) {
                happened.add(e.toString());
            }
        });
        assertThat(happened.poll(20, TimeUnit.SECONDS)).isEqualTo("read");
        assertThat(happened.poll(20, TimeUnit.SECONDS)).isEqualTo("due");
        worker.shutdownNow();
    }

    /** Connections that all had more input were read by turns for 5 s without a select, while the others were not read at all. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void postponedTasksRunAfterASelectHoweverLongOtherTasksTake(boolean byTimer) throws Exception {
        BlockingQueue<String> happened = new LinkedBlockingQueue<>();
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        worker.getIoThread().execute(() -> {
            try {
                EventLoop loop = new EventLoop(worker.getIoThread(), new BufferPool(8), 1);
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                loop.createLink(pipe.getLeftSide(), new ReadListener(() -> happened.add("read"))).resume();
                pipe.getRightSide().getSinkChannel().write(ByteBuffer.wrap(new byte[1]));
                if (byTimer) {
                    loop.scheduleAt(loop.nowMs(), () -> happened.add("run"));
                } else {
                    loop.executeNextTurn(() -> happened.add("run"));
                }
                keepBusy(worker.getIoThread(), BUSY_TIMERS);
            } catch (IOException e) {
                happened.add(e.toString());
            }
        });
        assertThat(happened.poll(20, TimeUnit.SECONDS)).isEqualTo("read");
        assertThat(happened.poll(20, TimeUnit.SECONDS)).isEqualTo("run");
        worker.shutdownNow();
    }

    /** Timers that each run until the next one is due: XNIO does not select between them. */
    private static void keepBusy(XnioExecutor thread, int timers) {
        if (timers > 1) {
            thread.executeAfter(() -> keepBusy(thread, timers - 1), 1, TimeUnit.MILLISECONDS);
        }
        long until = System.nanoTime() + BUSY_NANOS;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    /** Calls back when something was read. */
    private record ReadListener(Runnable onRead) implements Link.Listener {
        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
            onRead.run();
        }

        @Override
        public void disconnected(String cause) {}
    }

    /** Connections close on other threads while the loop opens new ones: a count that drifts leads to no connections or too many. */
    @Test
    void connectionCountHoldsWhileOtherThreadsClose() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        ExecutorService closers = Executors.newFixedThreadPool(CLOSERS);
        try (ServerSocket peer = new ServerSocket(0, CONCURRENT_DIALS, InetAddress.getLoopbackAddress())) {
            closers.execute(() -> acceptAll(peer));
            EventLoop loop = new EventLoop(worker.getIoThread(), new BufferPool(8), CONCURRENT_DIALS + 1);
            CountDownLatch closed = new CountDownLatch(DIALS);
            Semaphore room = new Semaphore(CONCURRENT_DIALS);
            for (int i = 0; i < DIALS; i++) {
                assertThat(room.tryAcquire(20, TimeUnit.SECONDS)).as("room for connection %d", i).isTrue();
                worker.getIoThread().execute(() -> loop.connect((InetSocketAddress) peer.getLocalSocketAddress(), 10_000, connection -> closers.execute(() -> {
                    IoUtils.safeClose(connection);
                    room.release();
                    closed.countDown();
                }), cause -> {
                    room.release();
                    closed.countDown();
                }));
            }
            assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
            CompletableFuture<List<Boolean>> counts = new CompletableFuture<>();
            worker.getIoThread().execute(() -> {
                loop.limitConnections(2);
                boolean mayDialOne = loop.mayConnect();
                loop.limitConnections(1);
                counts.complete(List.of(mayDialOne, loop.mayConnect()));
            });
            assertThat(counts.get(20, TimeUnit.SECONDS)).as("exactly one more connection is allowed").containsExactly(true, false);
        } finally {
            closers.shutdownNow();
            worker.shutdownNow();
        }
    }

    private static void acceptAll(ServerSocket peer) {
        try {
            while (true) {
                peer.accept().close();
            }
        } catch (IOException e) {
            Thread.currentThread().interrupt(); // the test is over
        }
    }
}
