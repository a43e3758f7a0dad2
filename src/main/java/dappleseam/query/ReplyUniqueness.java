package dappleseam.query;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whether a node's replies to different commands differ, so that a late copy of one can be recognized. Where a node gives equal replies in earnest, as
 * one receipt for all writes, each command gets a connection of its own for a while: on a shared one an equal reply would fail its execution.
 */
public final class ReplyUniqueness {
    /** Time in ms for which connections are not reused after the first equal reply; each further one doubles it. */
    private static final double FIRST_SUSPENSION_MS = 10_000;
    private static final double MAX_SUSPENSION_MS = 3_600_000;
    /** Latest replies that are remembered of a node. */
    private static final int MAX_REMEMBERED = 32;
    /** Replies that have to differ before connections are reused, and receipts before one carries two writes. */
    private static final int MIN_DISTINCT = 2;

    /** Ids of the commands, by the fingerprints of their replies. */
    private final Map<Long, String> recentReplies = new LinkedHashMap<>();
    private int distinctReplies;
    private int distinctReceipts;
    private double suspensionMs = FIRST_SUSPENSION_MS;
    private double suspendedUntilMs = Double.NEGATIVE_INFINITY;

    /** Whether a connection may carry more than one command: the node's replies were seen to differ, and none was equal lately. */
    public boolean permitsReuse(double nowMs) {
        return distinctReplies >= MIN_DISTINCT && nowMs >= suspendedUntilMs;
    }

    /** Whether a connection may carry more than one write: its receipts were seen to differ. */
    public boolean permitsSecondWrite() {
        return distinctReceipts >= MIN_DISTINCT;
    }

    /** Records a reply with a value that is known to belong to {@code command}. */
    public void recordProven(Command command, long fingerprint, double nowMs) {
        String earlierId = recentReplies.putIfAbsent(fingerprint, command.id());
        if (earlierId == null) {
            distinctReplies++;
            distinctReceipts += command.isWrite() ? 1 : 0;
            if (recentReplies.size() > MAX_REMEMBERED) {
                recentReplies.remove(recentReplies.keySet().iterator().next());
            }
        } else if (!earlierId.equals(command.id())) { // further executions of one query get the same reply
            recordEqualReply(nowMs);
        }
    }

    /** Records a reply that equals that to another command. */
    public void recordEqualReply(double nowMs) {
        distinctReplies = 0;
        distinctReceipts = 0;
        suspendedUntilMs = nowMs + suspensionMs;
        suspensionMs = Math.min(2 * suspensionMs, MAX_SUSPENSION_MS);
    }
}
