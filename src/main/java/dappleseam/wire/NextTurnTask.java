package dappleseam.wire;

import java.util.concurrent.Executor;

/** A task for the next turn of the I/O thread, which is queued at most once at a time. Only for the I/O thread. */
public final class NextTurnTask {
    private final Executor nextTurn;
    private final Runnable task;
    private boolean isQueued;

    /** {@code nextTurn} runs a task on the I/O thread after the connections that are ready have been served. */
    public NextTurnTask(Executor nextTurn, Runnable task) {
        this.nextTurn = nextTurn;
        this.task = task;
    }

    public boolean isQueued() {
        return isQueued;
    }

    /** Queues the task, unless it is queued already. */
    public void queue() {
        if (!isQueued) {
            isQueued = true;
            nextTurn.execute(this::run);
        }
    }

    private void run() {
        isQueued = false;
        task.run();
    }
}
