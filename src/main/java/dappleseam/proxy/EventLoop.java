package dappleseam.proxy;

import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The single I/O thread: its clock, its scheduled tasks and its connections to peers. */
final class EventLoop implements IoLoop {
    private static final Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final OptionMap CONNECT_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    private static final int SCRATCH_BYTES = 32 << 10;
    /** Descriptors reserved for the connection to the list service, which is not counted among those to nodes. */
    private static final int RESERVED_DESCRIPTORS = 1;
    /** Lateness in ms from which pending input is read before due tasks run. */
    private static final double LATENESS_THRESHOLD_MS = 8;
    private static final double NANOS_PER_MS = 1e6;
    /** Offset of the clock, so that 0 is long ago even just after the machine's start: ten days, more than any time span that is looked back on. */
    private static final double CLOCK_OFFSET_MS = 10 * 86_400_000.0;

    private final XnioIoThread thread;
    private final BufferPool pool;
    private int maxConnections;
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH_BYTES);
    private final TreeSet<ScheduledTask> scheduledTasks = new TreeSet<>();
    private long scheduledCount;
    private double wakeUpAt = Double.POSITIVE_INFINITY;
    private XnioExecutor.Key wakeUp;
    /** Number of connections to nodes, open or being opened. Atomic, as connections are closed on other threads, too. */
    private final AtomicInteger openConnections = new AtomicInteger();
    private final EventLoopMonitor monitor = new EventLoopMonitor();
    private final TurnQueue turns;
    /** Due tasks run after the next select. */
    private boolean isRunPostponed;

    /**
     * Can be called on any thread.
     *
     * @throws IOException if no descriptors are left
     */
    EventLoop(XnioIoThread thread, BufferPool pool, int maxConnections) throws IOException {
        this.thread = thread;
        this.pool = pool;
        this.maxConnections = maxConnections;
        turns = new TurnQueue(thread, monitor);
    }

    /** Sets the maximum number of connections to peers; existing connections beyond it stay open. */
    void limitConnections(int newMax) {
        maxConnections = newMax;
    }

    @Override
    public double nowMs() {
        return monotonicMs();
    }

    /** See {@link IoLoop#nowMs}; thread-safe. */
    static double monotonicMs() {
        return CLOCK_OFFSET_MS + System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public BufferPool pool() {
        return pool;
    }

    @Override
    public Link createLink(StreamConnection connection, Link.Listener events) {
        return new Link(connection, pool, scratch, this::executeNextTurn, events);
    }

    @Override
    public void executeNextTurn(Runnable task) {
        turns.add(task);
    }

    /** A scheduled task, ordered by time and then by the order of scheduling. */
    private final class ScheduledTask implements PendingTask, Comparable<ScheduledTask> {
        private final double whenMs;
        private final long number = scheduledCount++;
        private final Runnable task;

        ScheduledTask(double whenMs, Runnable task) {
            this.whenMs = whenMs;
            this.task = task;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Double.compare(whenMs, other.whenMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }

        @Override
        public void cancelTask() {
            scheduledTasks.remove(this);
        }
    }

    @Override
    public PendingTask scheduleAt(double whenMs, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(whenMs, task);
        scheduledTasks.add(scheduled);
        scheduleWakeUp();
        return scheduled;
    }

    /** Keeps one wake-up of the I/O thread scheduled, for the earliest task. */
    private void scheduleWakeUp() {
        if (isRunPostponed || scheduledTasks.isEmpty() || scheduledTasks.first().whenMs >= wakeUpAt) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.remove();
        }
        wakeUpAt = scheduledTasks.first().whenMs;
        double delayMs = wakeUpAt - nowMs();
        if (delayMs <= 0) {
            postponeRun(); // a delay of 0 would end before a select: due tasks that take long could keep the thread from one
        } else {
            wakeUp = thread.executeAfter(this::wakeUp, (long) Math.ceil(delayMs), TimeUnit.MILLISECONDS); // XNIO takes a delay under 1 ms for 0
        }
    }

    private void wakeUp() {
        double now = nowMs();
        monitor.wakeUpHandled(wakeUpAt, now);
        if (now > wakeUpAt + LATENESS_THRESHOLD_MS) {
            postponeRun(); // this thread is late: nodes' answers may have arrived unread and must be read before their timeouts run
        } else {
            runDue();
        }
    }

    private void postponeRun() {
        isRunPostponed = true;
        wakeUp = null;
        executeNextTurn(this::runDue);
    }

    private void runDue() {
        double now = nowMs();
        isRunPostponed = false;
        wakeUp = null;
        wakeUpAt = Double.POSITIVE_INFINITY;
        try {
            while (!scheduledTasks.isEmpty() && scheduledTasks.first().whenMs <= now) {
                Runnable task = scheduledTasks.pollFirst().task;
                try {
                    task.run();
                } catch (RuntimeException | Error e) { // a failing task must not stop the others
                    LOG.log(Level.ERROR, "a deadline failed", e);
                }
            }
        } finally {
            scheduleWakeUp();
        }
    }

    @Override
    public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected,
                               Consumer<String> onFailed) {
        if (!mayConnect()) {
            onFailed.accept("no descriptor left");
            return () -> { };
        }
        return new ConnectAttempt(to, timeoutMs, onConnected, onFailed, 1);
    }

    @Override
    public PendingTask connectReserved(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected,
                                       Consumer<String> onFailed) {
        return new ConnectAttempt(to, timeoutMs, onConnected, onFailed, 0);
    }

    @Override
    public boolean mayConnect() {
        return openConnections.get() < maxConnections - RESERVED_DESCRIPTORS;
    }

    /** A connection being opened; exactly one of the callbacks is called. */
    private final class ConnectAttempt implements PendingTask {
        private final Consumer<StreamConnection> onConnected;
        private final Consumer<String> onFailed;
        private final PendingTask timeout;
        private final IoFuture<StreamConnection> future;
        /** How much it counts among the connections to nodes: 1, or 0 for the list service. */
        private final int weight;
        private boolean isDone;

        ConnectAttempt(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected, Consumer<String> onFailed, int weight) {
            this.onConnected = onConnected;
            this.onFailed = onFailed;
            this.weight = weight;
            openConnections.addAndGet(weight);
            timeout = scheduleAt(nowMs() + timeoutMs, () -> fail("connect timeout"));
            future = thread.openStreamConnection(to, this::connected, CONNECT_OPTIONS);
            future.addNotifier((done, none) -> {
                if (done.getStatus() == IoFuture.Status.FAILED) {
                    IOException e = done.getException();
                    thread.execute(() -> fail(e.getMessage()));
                }
            }, null);
        }

        private void connected(StreamConnection connection) {
            if (isDone) {
                IoUtils.safeClose(connection);
                return;
            }
            isDone = true;
            connection.setCloseListener(closed -> openConnections.addAndGet(-weight));
            timeout.cancelTask();
            try {
                onConnected.accept(connection);
            } catch (RuntimeException | Error e) { // nobody has the connection
                LOG.log(Level.ERROR, "a new connection failed", e);
                IoUtils.safeClose(connection);
                onFailed.accept("internal error: " + e);
            }
        }

        private void fail(String cause) {
            if (!isDone) {
                cancelTask();
                onFailed.accept(cause);
            }
        }

        @Override
        public void cancelTask() {
            if (!isDone) {
                isDone = true;
                timeout.cancelTask();
                openConnections.addAndGet(-weight);
                future.cancel();
            }
        }
    }
}
