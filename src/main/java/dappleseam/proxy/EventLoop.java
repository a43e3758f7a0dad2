package dappleseam.proxy;

import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
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
final class EventLoop implements Loop {
    private static final Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final OptionMap DIAL = OptionMap.create(Options.TCP_NODELAY, true);
    private static final int SCRATCH = 32 << 10;
    /** Descriptors reserved for the connection to the list service, which is not counted among those to nodes. */
    private static final int KEPT = 1;
    /** Lateness in ms from which pending input is read before due tasks run. */
    private static final double LATE_MS = 8;
    private static final double NANOS_PER_MS = 1e6;
    /** Offset of the clock, so that 0 is long ago even just after the machine's start: ten days, more than any time span that is looked back on. */
    private static final double LONG_AGO_MS = 10 * 86_400_000.0;
    /** Shortest delay in ms after which the thread selects before it runs postponed tasks: XNIO counts whole ms. */
    private static final long READ_FIRST_MS = 1;

    private final XnioIoThread thread;
    private final BufferPool pool;
    private int mostDialled;
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH);
    private final TreeSet<At> deadlines = new TreeSet<>();
    private long deadlineCount;
    private double alarmAt = Double.POSITIVE_INFINITY;
    private XnioExecutor.Key alarm;
    /** Number of connections to nodes, open or being opened. Atomic, as connections are closed on other threads, too. */
    private final AtomicInteger dialled = new AtomicInteger();
    private final EventLoopMonitor monitor = new EventLoopMonitor();
    private boolean hasReadFirst;

    EventLoop(XnioIoThread thread, BufferPool pool, int mostDialled) {
        this.thread = thread;
        this.pool = pool;
        this.mostDialled = mostDialled;
    }

    /** Sets the maximum number of connections to peers; existing connections beyond it stay open. */
    void limitDialled(int most) {
        mostDialled = most;
    }

    @Override
    public double nowMs() {
        return machineMs();
    }

    /** See {@link Loop#nowMs}; thread-safe. */
    static double machineMs() {
        return LONG_AGO_MS + System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public BufferPool pool() {
        return pool;
    }

    @Override
    public Link link(StreamConnection connection, Link.Events events) {
        return new Link(connection, pool, scratch, events);
    }

    /** A scheduled task, ordered by time and then by the order of scheduling. */
    private final class At implements Deadline, Comparable<At> {
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
        public void callOff() {
            deadlines.remove(this);
        }
    }

    @Override
    public Deadline at(double whenMs, Runnable due) {
        At deadline = new At(whenMs, due);
        deadlines.add(deadline);
        setAlarm();
        return deadline;
    }

    /** Keeps one wake-up of the I/O thread scheduled, for the earliest task. */
    private void setAlarm() {
        if (deadlines.isEmpty() || deadlines.first().whenMs >= alarmAt) {
            return;
        }
        if (alarm != null) {
            alarm.remove();
        }
        alarmAt = deadlines.first().whenMs;
        long delayMs = (long) Math.max(0, Math.ceil(alarmAt - nowMs())); // rounded up: a delay under 1 ms would count as 0 and spin
        alarm = thread.executeAfter(this::fire, delayMs, TimeUnit.MILLISECONDS);
    }

    private void fire() {
        double now = nowMs();
        if (!hasReadFirst) {
            monitor.fired(alarmAt, now);
        }
        if (now > alarmAt + LATE_MS && !hasReadFirst) {
            // This thread is late: nodes' answers may have arrived unread and must be read before their timeouts run.
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
                } catch (RuntimeException e) { // a failing task must not stop the others
                    LOG.log(Level.ERROR, "a deadline failed", e);
                }
            }
        } finally {
            setAlarm();
        }
    }

    @Override
    public Deadline dial(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                         Consumer<String> failed) {
        if (!mayDial()) {
            failed.accept("no descriptor left");
            return () -> { };
        }
        return new Dialling(to, timeoutMs, up, failed, 1);
    }

    @Override
    public Deadline dialKept(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                             Consumer<String> failed) {
        return new Dialling(to, timeoutMs, up, failed, 0);
    }

    @Override
    public boolean mayDial() {
        return dialled.get() < mostDialled - KEPT;
    }

    /** A connection being opened; exactly one of the callbacks is called. */
    private final class Dialling implements Deadline {
        private final Consumer<StreamConnection> up;
        private final Consumer<String> failed;
        private final Deadline timeout;
        private final IoFuture<StreamConnection> future;
        /** How much it counts among the connections to nodes: 1, or 0 for the list service. */
        private final int counts;
        private boolean over;

        Dialling(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up, Consumer<String> failed, int counts) {
            this.up = up;
            this.failed = failed;
            this.counts = counts;
            dialled.addAndGet(counts);
            timeout = at(nowMs() + timeoutMs, () -> fail("connect timeout"));
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
            timeout.callOff();
            up.accept(connection);
        }

        private void fail(String cause) {
            if (!over) {
                callOff();
                failed.accept(cause);
            }
        }

        @Override
        public void callOff() {
            if (!over) {
                over = true;
                timeout.callOff();
                dialled.addAndGet(-counts);
                future.cancel();
            }
        }
    }
}
