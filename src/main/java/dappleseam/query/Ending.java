package dappleseam.query;

import dappleseam.router.Outcome;
import dappleseam.wire.Chain;

/** How an execution ended: a value where it completed, and a cause where it failed. */
public record Ending(Outcome outcome, Chain value, String cause) {
    public static Ending completed(Chain value) {
        return new Ending(Outcome.COMPLETED, value, "");
    }

    public static Ending of(Outcome outcome) {
        return new Ending(outcome, null, "");
    }

    public static Ending erred(String cause) {
        return new Ending(Outcome.ERRED, null, cause);
    }

    public static Ending broken(Reached reached, String cause) {
        return new Ending(reached.whenBroken, null, cause);
    }
}
