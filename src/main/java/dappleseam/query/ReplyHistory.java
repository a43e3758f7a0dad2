package dappleseam.query;

import dappleseam.router.Outcome;
import java.util.HashSet;
import java.util.Set;

/**
 * The replies that came on one connection, to recognize a late copy of one of them. A reply names no command, but a copy is equal to its original:
 * a reply that differs from all earlier ones on its connection belongs to the command that waits for it. Replies without a value, such as a miss,
 * are equal to each other, and nothing is kept of large values.
 */
public final class ReplyHistory {
    /** Replies after which a connection is not used again, which bounds the memory of its history. */
    private static final int MAX_REPLIES = 64;
    private static final long SIZE_FACTOR = 1L << 32;

    private final Set<Long> fingerprints = new HashSet<>();
    private boolean hasLargeValue;
    private boolean hasReplyWithoutValue;
    private boolean hasReceipt;

    /** Whether a copy of each earlier reply would be recognized, so that another command may be sent on the connection. */
    public boolean permitsReuse() {
        return fingerprints.size() < MAX_REPLIES && !hasLargeValue;
    }

    /** Whether no reply has come. */
    public boolean isEmpty() {
        return fingerprints.isEmpty() && !hasLargeValue;
    }

    /** Whether one of the replies was to a write. */
    public boolean hasReceipt() {
        return hasReceipt;
    }

    /** Whether one of the replies had no value, so that equal ones are to be expected. */
    public boolean hasReplyWithoutValue() {
        return hasReplyWithoutValue;
    }

    /**
     * Records a whole reply to {@code command}. Returns whether it differs from all earlier ones; if not, it may be a copy, and the command that waits for a reply
     * may have run.
     */
    public boolean recordIfDistinct(Command command, ExecutionResult reply) {
        boolean hasContent = hasContent(reply);
        hasReceipt |= command.isWrite();
        hasReplyWithoutValue |= !hasContent;
        return fingerprints.add(hasContent ? fingerprint(reply) : withoutContent(reply.outcome()));
    }

    /** Records a large value, of which nothing is kept. */
    public void recordLarge() {
        hasLargeValue = true;
    }

    /** Whether a reply has a value that may tell it from others. */
    public static boolean hasContent(ExecutionResult reply) {
        return reply.value() != null && reply.value().size() > 0;
    }

    /** Equal for equal values. */
    public static long fingerprint(ExecutionResult reply) {
        return reply.value().size() * SIZE_FACTOR + reply.value().checksum();
    }

    /** Stands for all replies of that kind; below 0, unlike the fingerprint of a value. */
    private static long withoutContent(Outcome outcome) {
        return -1 - outcome.ordinal();
    }
}
