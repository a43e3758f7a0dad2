package dappleseam.query;

import dappleseam.router.Outcome;

/** How far the request of an execution had been written when its connection failed. */
public enum WriteProgress {
    /** The last byte was not written, so it never ran. */
    INCOMPLETE(Outcome.CONNECT_FAILED),
    /** Written completely and not answered, so it may have run. */
    COMPLETE(Outcome.RESET);

    public final Outcome failureOutcome;

    WriteProgress(Outcome whenBroken) {
        this.failureOutcome = whenBroken;
    }
}
