package dappleseam.query;

import dappleseam.router.Outcome;
import dappleseam.wire.Chain;

/** Result of an execution: a value, or a large value still arriving, if it completed, and a cause if it failed. */
public record Ending(Outcome outcome, Chain value, Transfer transfer, String cause) {
    /** Completed with a whole value. */
    public static Ending completed(Chain value) {
        return new Ending(Outcome.COMPLETED, value, null, "");
    }

    /** Completed with a large value whose first bytes have arrived. */
    public static Ending begun(Transfer transfer) {
        return new Ending(Outcome.COMPLETED, null, transfer, "");
    }

    /** Releases the value, which is not needed. */
    public void release() {
        if (value != null) {
            value.release();
        }
        if (transfer != null) {
            transfer.abandon();
        }
    }

    /** An outcome without a value or cause. */
    public static Ending of(Outcome outcome) {
        return new Ending(outcome, null, null, "");
    }

    /** The node answered with an error, or with something that is not a valid answer. */
    public static Ending erred(String cause) {
        return new Ending(Outcome.ERRED, null, null, cause);
    }

    /** The connection failed; the outcome depends on how far the request had been written. */
    public static Ending broken(Reached reached, String cause) {
        return new Ending(reached.whenBroken, null, null, cause);
    }
}
