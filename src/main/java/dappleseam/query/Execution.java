package dappleseam.query;

import dappleseam.router.Outcome;
import dappleseam.router.QueryId;

/** One execution in flight. It ends once; a later result is released. */
public final class Execution {
    /** Receives the events of an execution. */
    public interface Listener {
        /** Whether it may still begin; asked if it could not be sent right after the decision. */
        boolean mayBegin(Execution execution);

        /** Its last byte has been written to the node. */
        void written(Execution execution);

        /** It has ended; called once. */
        void ended(Execution execution, ExecutionResult result);
    }

    public final QueryId query;
    public final int number;
    public final Command command;
    public final double sentAt;
    public final double deadlineMs;
    private final Listener listener;
    /** Null until it has ended. */
    private Outcome outcome;
    private boolean written;

    public Execution(QueryId query, int number, Command command, double sentAt, double deadlineMs, Listener listener) {
        this.query = query;
        this.number = number;
        this.command = command;
        this.sentAt = sentAt;
        this.deadlineMs = deadlineMs;
        this.listener = listener;
    }

    /** Reports that its last byte has been written to the node. */
    public void written() {
        if (!written) {
            written = true;
            listener.written(this);
        }
    }

    /** Whether it may still begin; if not, it ends as unsent. */
    public boolean mayBegin() {
        if (outcome == null && !listener.mayBegin(this)) {
            end(ExecutionResult.of(Outcome.UNSENT));
        }
        return outcome == null;
    }

    public boolean hasEnded() {
        return outcome != null;
    }

    /** How it ended; null while it is in flight. */
    public Outcome outcome() {
        return outcome;
    }

    /** Whether it may have had an effect. */
    public boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan;
    }

    /** Ends the execution, or releases the result if it has ended already. */
    public void end(ExecutionResult result) {
        if (outcome == null) {
            outcome = result.outcome();
            listener.ended(this, result);
        } else {
            result.release();
        }
    }
}
