package dappleseam.query;

import dappleseam.router.Outcome;
import dappleseam.wire.Chain;

/** How an execution ended: a value, or a long one on its way, where it completed, and a cause where it failed. */
public record Ending(Outcome outcome, Chain value, Transfer transfer, String cause) {
    public static Ending completed(Chain value) {
        return new Ending(Outcome.COMPLETED, value, null, "");
    }

    /** The first bytes of a long value are there. */
    public static Ending begun(Transfer transfer) {
        return new Ending(Outcome.COMPLETED, null, transfer, "");
    }

    /** Nobody wants what it brought. */
    public void release() {
        if (value != null) {
            value.release();
        }
        if (transfer != null) {
            transfer.abandon();
        }
    }

    public static Ending of(Outcome outcome) {
        return new Ending(outcome, null, null, "");
    }

    public static Ending erred(String cause) {
        return new Ending(Outcome.ERRED, null, null, cause);
    }

    public static Ending broken(Reached reached, String cause) {
        return new Ending(reached.whenBroken, null, null, cause);
    }
}
