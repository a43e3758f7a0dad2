package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.router.Outcome;
import dappleseam.wire.BufferChain;
import dappleseam.wire.BufferPool;
import org.junit.jupiter.api.Test;

class ReplyHistoryTest {
    private static final int MANY = 100;
    private static final Command READ = new Command("key", "id", "", null);

    private final BufferPool pool = new BufferPool(MANY);
    private final ReplyHistory history = new ReplyHistory();

    private ExecutionResult value(String text) {
        return ExecutionResult.completed(new BufferChain(pool).put(text));
    }

    /** Replies on one connection were told apart by time, so that a late copy passed for the reply to the next command. */
    @Test
    void aCopyOfAnyEarlierValueIsNotDistinct() {
        assertThat(history.recordIfDistinct(READ, value("value of a"))).isTrue();
        assertThat(history.recordIfDistinct(READ, value("value of b"))).isTrue();
        assertThat(history.permitsReuse()).isTrue();
        assertThat(history.recordIfDistinct(READ, value("value of a"))).isFalse();
        assertThat(history.recordIfDistinct(READ, value("value of b"))).isFalse();
    }

    /** A copy of a miss or a refusal would count as proof that a command never ran. */
    @Test
    void repliesWithoutAValueAreToldApartByNothing() {
        for (Outcome outcome : new Outcome[] {Outcome.MISS, Outcome.FULL, Outcome.ERRED}) {
            ReplyHistory fresh = new ReplyHistory();
            assertThat(fresh.recordIfDistinct(READ, value("value of a"))).isTrue();
            assertThat(fresh.hasReplyWithoutValue()).isFalse();
            assertThat(fresh.recordIfDistinct(READ, ExecutionResult.of(outcome))).isTrue();
            assertThat(fresh.hasReplyWithoutValue()).isTrue();
            assertThat(fresh.recordIfDistinct(READ, ExecutionResult.of(outcome))).isFalse();
        }
        assertThat(history.recordIfDistinct(READ, value(""))).isTrue();
        assertThat(history.hasReplyWithoutValue()).isTrue();
    }

    /** Of a large value nothing is kept that a copy could be compared with. */
    @Test
    void noCommandFollowsALargeValue() {
        history.recordLarge();
        assertThat(history.permitsReuse()).isFalse();
    }

    @Test
    void theHistoryIsBounded() {
        int replies = 0;
        for (; history.permitsReuse() && replies < MANY; replies++) {
            history.recordIfDistinct(READ, value("value" + replies));
        }
        assertThat(replies).isLessThan(MANY);
    }

    private Command write(String id) {
        return new Command("key", id, "", new BufferChain(pool).put("new"));
    }

    /** A node whose replies are equal in earnest cost an execution each time while its connections were reused. */
    @Test
    void equalRepliesSuspendReuseForLongerAndLonger() {
        ReplyUniqueness uniqueness = new ReplyUniqueness();
        assertThat(uniqueness.permitsReuse(0)).isFalse();
        recordTwoDistinct(uniqueness, 1);
        assertThat(uniqueness.permitsReuse(0)).isTrue();
        uniqueness.recordEqualReply(0);
        recordTwoDistinct(uniqueness, 3);
        assertThat(uniqueness.permitsReuse(9_999)).isFalse();
        assertThat(uniqueness.permitsReuse(10_000)).isTrue();
        uniqueness.recordEqualReply(10_000);
        recordTwoDistinct(uniqueness, 5);
        assertThat(uniqueness.permitsReuse(29_999)).isFalse();
        assertThat(uniqueness.permitsReuse(30_000)).isTrue();
    }

    private static void recordTwoDistinct(ReplyUniqueness uniqueness, long fingerprint) {
        uniqueness.recordProven(READ, fingerprint, 0);
        uniqueness.recordProven(READ, fingerprint + 1, 0);
    }

    /** A node may give one receipt for all writes: two go on one connection only after receipts were seen to differ. */
    @Test
    void writesShareAConnectionOnlyWhereReceiptsDiffer() {
        ReplyUniqueness uniqueness = new ReplyUniqueness();
        uniqueness.recordProven(write("w1"), 1, 0);
        assertThat(uniqueness.permitsSecondWrite()).isFalse();
        uniqueness.recordProven(write("w2"), 2, 0);
        assertThat(uniqueness.permitsSecondWrite()).isTrue();
        uniqueness.recordProven(write("w3"), 2, 0);
        assertThat(uniqueness.permitsSecondWrite()).isFalse();
        assertThat(uniqueness.permitsReuse(0)).isFalse();
    }

    @Test
    void furtherExecutionsOfOneQueryMayGetTheSameReply() {
        ReplyUniqueness uniqueness = new ReplyUniqueness();
        recordTwoDistinct(uniqueness, 2);
        uniqueness.recordProven(write("w1"), 1, 0);
        uniqueness.recordProven(write("w1"), 1, 0);
        assertThat(uniqueness.permitsReuse(0)).isTrue();
    }
}
