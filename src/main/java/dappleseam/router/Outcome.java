package dappleseam.router;

/** How one execution ended. */
public enum Outcome {
    COMPLETED(false),
    /** The node answered with an error. */
    ERRED(false),
    /** The node refused it without processing: it is full or draining. */
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    /** It was never sent. */
    UNSENT(true),
    /** The cache does not hold the key, and does not fetch by itself. */
    MISS(true);

    /** The execution is known to have had no effect. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
