package dappleseam.query;

import dappleseam.router.Outcome;

/** How far an execution had come when its connection failed it. */
public enum WriteProgress {
    /** Its last byte was not written: it never ran. */
    INCOMPLETE(Outcome.CONNECT_FAILED),
    /** Written whole, with no answer: it may have run. */
    COMPLETE(Outcome.RESET);

    public final Outcome whenBroken;

    WriteProgress(Outcome whenBroken) {
        this.whenBroken = whenBroken;
    }
}
