package dappleseam.proxy;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Tasks that the I/O thread runs after its next select, when the connections that were ready have been served. XNIO runs all tasks and timers that are
 * due, also those that come due meanwhile, before it selects again: tasks that go on by another task or a short delay can keep it from that for good.
 * Only a selected channel shows that a select took place; this one is the writable end of a pipe that stays empty. On the I/O thread only.
 */
final class TurnQueue {
    private static final Logger LOG = System.getLogger(TurnQueue.class.getName());

    private final XnioIoThread thread;
    private final EventLoopMonitor monitor;
    private final StreamSinkChannel alwaysWritable;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    /** A turn for the tasks is awaited. */
    private boolean isAwaitingTurn;
    private double awaitedSince;

    /**
     * Can be called on any thread. {@code monitor} is told of each turn.
     *
     * @throws IOException if the pipe cannot be opened
     */
    TurnQueue(XnioIoThread thread, EventLoopMonitor monitor) throws IOException {
        this.thread = thread;
        this.monitor = monitor;
        alwaysWritable = thread.createHalfDuplexPipe().getRightSide();
        alwaysWritable.getWriteSetter().set(channel -> selected());
    }

    /** Runs the task after the next select; tasks run in the order in which they were added. */
    void add(Runnable task) {
        tasks.add(task);
        awaitTurn();
    }

    private void awaitTurn() {
        if (!isAwaitingTurn && !tasks.isEmpty()) {
            isAwaitingTurn = true;
            awaitedSince = EventLoop.monotonicMs();
            alwaysWritable.resumeWrites();
        }
    }

    /** Called among the connections of a select: its tasks run after them, tasks that they add meanwhile run after the next select. */
    private void selected() {
        alwaysWritable.suspendWrites();
        int count = tasks.size();
        thread.execute(() -> run(count));
    }

    private void run(int count) {
        monitor.wakeUpHandled(awaitedSince, EventLoop.monotonicMs());
        isAwaitingTurn = false;
        try {
            for (int i = 0; i < count; i++) {
                run(tasks.poll());
            }
        } finally {
            awaitTurn();
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) { // a failing task must not stop the others
            LOG.log(Level.ERROR, "a postponed task failed", e);
        }
    }
}
