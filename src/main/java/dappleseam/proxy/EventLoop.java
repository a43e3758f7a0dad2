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

/** The one I/O thread: its clock, its deadlines in one ordered structure, and its connections to peers. */
final class EventLoop implements IoLoop {
    private static final Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final OptionMap DIAL = OptionMap.create(Options.TCP_NODELAY, true);
    private static final int SCRATCH = 32 << 10;
    /** Descriptors kept for the connection to the list service, which is not counted among those to nodes. */
    private static final int KEPT = 1;
    /** Lateness in ms from which what has come is read before deadlines fall due. */
    private static final double LATE_MS = 8;
    private static final double NANOS_PER_MS = 1e6;
    /** What the time of a machine that has just started is, so that 0 is long ago: ten days, over all spans that are looked back on. */
    private static final double LONG_AGO_MS = 10 * 86_400_000.0;
    /** Least delay in ms with which the thread selects before it runs what was put off: it counts whole ones. */
    private static final long READ_FIRST_MS = 1;

    private final XnioIoThread thread;
    private final BufferPool pool;
    private int mostDialled;
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH);
    private final TreeSet<At> deadlines = new TreeSet<>();
    private long deadlineCount;
    private double alarmAt = Double.POSITIVE_INFINITY;
    private XnioExecutor.Key alarm;
    /** Connections to nodes, on their way or open; they are closed on other threads, too. */
    private final AtomicInteger dialled = new AtomicInteger();
    private final EventLoopMonitor monitor = new EventLoopMonitor();
    private boolean hasReadFirst;

    EventLoop(XnioIoThread thread, BufferPool pool, int mostDialled) {
        this.thread = thread;
        this.pool = pool;
        this.mostDialled = mostDialled;
    }

    /** Holds so many connections to peers at most from now on; those it has beyond that stay. */
    void limitDialled(int most) {
        mostDialled = most;
    }

    @Override
    public double nowMs() {
        return machineMs();
    }

    /** See {@link IoLoop#nowMs}; for any thread. */
    static double machineMs() {
        return LONG_AGO_MS + System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public BufferPool pool() {
        return pool;
    }

    @Override
    public Link createLink(StreamConnection connection, Link.Listener events) {
        return new Link(connection, pool, scratch, events);
    }

    private final class At implements PendingTask, Comparable<At> {
        private final double whenMs;
        private final long number = deadlineCount++;
        private final Runnable due;

        At(double whenMs, Runnable due) {
            this.whenMs = whenMs;
            this.due = due;
        }

        @Override
        public int compareTo(At other) {
            int byTime = Double.compare(whenMs, other.whenMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }

        @Override
        public void cancelTask() {
            deadlines.remove(this);
        }
    }

    @Override
    public PendingTask scheduleAt(double whenMs, Runnable due) {
        At deadline = new At(whenMs, due);
        deadlines.add(deadline);
        setAlarm();
        return deadline;
    }

    /** One alarm of the thread's, for the first deadline. */
    private void setAlarm() {
        if (deadlines.isEmpty() || deadlines.first().whenMs >= alarmAt) {
            return;
        }
        if (alarm != null) {
            alarm.remove();
        }
        alarmAt = deadlines.first().whenMs;
        long delayMs = (long) Math.max(0, Math.ceil(alarmAt - nowMs())); // less than one would be none: a busy wait
        alarm = thread.executeAfter(this::fire, delayMs, TimeUnit.MILLISECONDS);
    }

    private void fire() {
        double now = nowMs();
        if (!hasReadFirst) {
            monitor.fired(alarmAt, now);
        }
        if (now > alarmAt + LATE_MS && !hasReadFirst) {
            // Guards nodes against this thread's own lateness: their answers may be here, unread.
            hasReadFirst = true;
            alarm = thread.executeAfter(this::fire, READ_FIRST_MS, TimeUnit.MILLISECONDS);
            return;
        }
        hasReadFirst = false;
        alarm = null;
        alarmAt = Double.POSITIVE_INFINITY;
        try {
            while (!deadlines.isEmpty() && deadlines.first().whenMs <= now) {
                Runnable due = deadlines.pollFirst().due;
                try {
                    due.run();
                } catch (RuntimeException e) { // one fault leaves the other deadlines
                    LOG.log(Level.ERROR, "a deadline failed", e);
                }
            }
        } finally {
            setAlarm();
        }
    }

    @Override
    public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                         Consumer<String> failed) {
        if (!mayConnect()) {
            failed.accept("no descriptor left");
            return () -> { };
        }
        return new Dialling(to, timeoutMs, up, failed, 1);
    }

    @Override
    public PendingTask connectReserved(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                             Consumer<String> failed) {
        return new Dialling(to, timeoutMs, up, failed, 0);
    }

    @Override
    public boolean mayConnect() {
        return dialled.get() < mostDialled - KEPT;
    }

    /** A connection on its way; told once. */
    private final class Dialling implements PendingTask {
        private final Consumer<StreamConnection> up;
        private final Consumer<String> failed;
        private final PendingTask timeout;
        private final IoFuture<StreamConnection> future;
        /** What it counts among the connections to nodes. */
        private final int counts;
        private boolean over;

        Dialling(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up, Consumer<String> failed, int counts) {
            this.up = up;
            this.failed = failed;
            this.counts = counts;
            dialled.addAndGet(counts);
            timeout = scheduleAt(nowMs() + timeoutMs, () -> fail("not up in time"));
            future = thread.openStreamConnection(to, this::opened, DIAL);
            future.addNotifier((done, none) -> {
                if (done.getStatus() == IoFuture.Status.FAILED) {
                    IOException e = done.getException();
                    thread.execute(() -> fail(e.getMessage()));
                }
            }, null);
        }

        private void opened(StreamConnection connection) {
            if (over) {
                IoUtils.safeClose(connection);
                return;
            }
            over = true;
            connection.setCloseListener(closed -> dialled.addAndGet(-counts));
            timeout.cancelTask();
            up.accept(connection);
        }

        private void fail(String cause) {
            if (!over) {
                cancelTask();
                failed.accept(cause);
            }
        }

        @Override
        public void cancelTask() {
            if (!over) {
                over = true;
                timeout.cancelTask();
                dialled.addAndGet(-counts);
                future.cancel();
            }
        }
    }
}
