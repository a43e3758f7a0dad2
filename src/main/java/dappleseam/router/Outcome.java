package dappleseam.router;

/** How one execution ended. */
public enum Outcome {
    COMPLETED(false),
    /** The node answered with an error. */
    ERRED(false),
    /** Turned back unseen: the node is full or draining. */
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    /** Never left this proxy. */
    UNSENT(true),
    /** The cache holds nothing under the key and fetches nothing. */
    MISS(true);

    /** The execution is known to have had no effect. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
