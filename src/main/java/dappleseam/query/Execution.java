package dappleseam.query;

import dappleseam.router.Outcome;
import dappleseam.router.QueryId;

/** One execution on its way; it ends once, and what comes for it later is dropped. */
public final class Execution {
    /** Who is told of it. */
    public interface Listener {
        /** Whether it may still begin, asked where something has come between its decision and its sending. */
        boolean mayBegin(Execution execution);

        /** Its last byte has gone to the node. */
        void written(Execution execution);

        void ended(Execution execution, ExecutionResult ending);
    }

    public final QueryId query;
    public final int number;
    public final Command command;
    public final double sentAt;
    public final double deadlineMs;
    private final Listener owner;
    private boolean ended;
    private boolean neverRan;
    private boolean written;

    public Execution(QueryId query, int number, Command command, double sentAt, double waitUntil, Listener owner) {
        this.query = query;
        this.number = number;
        this.command = command;
        this.sentAt = sentAt;
        this.deadlineMs = waitUntil;
        this.owner = owner;
    }

    /** Its last byte has gone to the node. */
    public void written() {
        if (!written) {
            written = true;
            owner.written(this);
        }
    }

    /** Whether it may still begin; it ends as never sent where it may not. */
    public boolean mayBegin() {
        if (!ended && !owner.mayBegin(this)) {
            end(ExecutionResult.of(Outcome.UNSENT));
        }
        return !ended;
    }

    public boolean hasEnded() {
        return ended;
    }

    /** Whether it is not known to have had no effect. */
    public boolean mayHaveRun() {
        return !neverRan;
    }

    public void end(ExecutionResult ending) {
        if (!ended) {
            ended = true;
            neverRan = ending.outcome().neverRan;
            owner.ended(this, ending);
        } else {
            ending.release();
        }
    }
}
