package dappleseam.query;

import dappleseam.router.Outcome;

/** How far the request of an execution had been written when its connection failed. */
public enum Reached {
    /** The last byte was not written, so it never ran. */
    NOT_WHOLE(Outcome.CONNECT_FAILED),
    /** Written completely and not answered, so it may have run. */
    WHOLE(Outcome.RESET);

    public final Outcome whenBroken;

    Reached(Outcome whenBroken) {
        this.whenBroken = whenBroken;
    }
}
