package dappleseam.query;

import dappleseam.router.Outcome;
import dappleseam.wire.BufferChain;

/** Result of an execution: a value, or a large value still arriving, if it completed, and a cause if it failed. */
public record ExecutionResult(Outcome outcome, BufferChain value, Transfer transfer, String cause) {
    /** Completed with a whole value. */
    public static ExecutionResult completed(BufferChain value) {
        return new ExecutionResult(Outcome.COMPLETED, value, null, "");
    }

    /** Completed with a large value whose first bytes have arrived. */
    public static ExecutionResult streaming(Transfer transfer) {
        return new ExecutionResult(Outcome.COMPLETED, null, transfer, "");
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
    public static ExecutionResult of(Outcome outcome) {
        return new ExecutionResult(outcome, null, null, "");
    }

    /** The node answered with an error, or with something that is not a valid answer. */
    public static ExecutionResult erred(String cause) {
        return new ExecutionResult(Outcome.ERRED, null, null, cause);
    }

    /** The connection failed; the outcome depends on how far the request had been written. */
    public static ExecutionResult connectionFailed(WriteProgress progress, String cause) {
        return new ExecutionResult(progress.failureOutcome, null, null, cause);
    }
}
