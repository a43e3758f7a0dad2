package dappleseam.query;

import dappleseam.router.Outcome;

/** How far an execution had come when its connection failed it. */
public enum Reached {
    /** Its last byte was not written: it never ran. */
    NOT_WHOLE(Outcome.CONNECT_FAILED),
    /** Written whole, with no answer: it may have run. */
    WHOLE(Outcome.RESET);

    public final Outcome whenBroken;

    Reached(Outcome whenBroken) {
        this.whenBroken = whenBroken;
    }
}
