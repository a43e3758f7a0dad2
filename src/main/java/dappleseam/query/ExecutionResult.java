package dappleseam.query;

import dappleseam.router.Outcome;
import dappleseam.wire.BufferChain;

/** How an execution ended: a value, or a long one on its way, where it completed, and a cause where it failed. */
public record ExecutionResult(Outcome outcome, BufferChain value, Transfer transfer, String cause) {
    public static ExecutionResult completed(BufferChain value) {
        return new ExecutionResult(Outcome.COMPLETED, value, null, "");
    }

    /** The first bytes of a long value are there. */
    public static ExecutionResult begun(Transfer transfer) {
        return new ExecutionResult(Outcome.COMPLETED, null, transfer, "");
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

    public static ExecutionResult of(Outcome outcome) {
        return new ExecutionResult(outcome, null, null, "");
    }

    public static ExecutionResult erred(String cause) {
        return new ExecutionResult(Outcome.ERRED, null, null, cause);
    }

    public static ExecutionResult connectionFailed(WriteProgress reached, String cause) {
        return new ExecutionResult(reached.whenBroken, null, null, cause);
    }
}
