package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Seen;
import dappleseam.fleet.share.Word;
import dappleseam.router.Learnt;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a proxy tells of its caches, and what it makes of what it is told. */
class FleetLookoutTest {
    private static final NodeId ONE = new NodeId(1);
    private static final Map<NodeId, Double> CACHES = Map.of(ONE, 5.0, new NodeId(2), 5.0, new NodeId(3), 5.0);

    private final List<Learnt> orders = new ArrayList<>();
    private double now = 10_000;
    private final FleetLookout lookout = new FleetLookout(1, orders::addAll, Runnable::run, () -> now);

    private Seen one() {
        return lookout.seen().stream().filter(s -> s.node().equals(ONE)).findFirst().orElseThrow();
    }

    private void look(Map<NodeId, Double> caches, Learnt... learnt) {
        lookout.look(now, List.of(learnt), caches);
    }

    @Test
    void oneLeftWithoutAnAnswerIsASightUntilTheNextAnswerOrStart() {
        look(CACHES);
        lookout.heard(ONE, now, 5);
        lookout.unanswered(ONE, now - 500, now, 500);
        look(CACHES);
        assertThat(one().fails()).as("it answered meanwhile").isFalse();
        lookout.unanswered(ONE, now + 100, now + 150, 50);
        look(CACHES);
        assertThat(one().fails()).as("not for long").isFalse();
        lookout.unanswered(ONE, now + 100, now + 400, 300);
        look(CACHES);
        assertThat(one().fails()).isTrue();
        look(Map.of(ONE, 6.0));
        assertThat(one().fails()).as("another process").isFalse();
        lookout.unanswered(ONE, now + 100, now + 400, Double.POSITIVE_INFINITY);
        look(Map.of(ONE, 6.0));
        assertThat(one().fails()).isTrue();
        lookout.heard(ONE, now + 500, 5);
        look(Map.of(ONE, 6.0));
        assertThat(one().fails()).isFalse();
    }

    @Test
    void whatItDoesByHearsayIsNoSightOfItsOwn() {
        look(CACHES);
        lookout.say(List.of(new Said(ONE, 5, Word.FAILS, 2, 0, 0)));
        assertThat(orders).hasSize(1).allMatch(o -> o.asideUntilMs() > now);
        look(CACHES, orders.get(0));
        assertThat(one().fails()).isFalse();
        look(CACHES, new Learnt(ONE, 5, 14_321, 0, 0, 0));
        assertThat(one().fails()).as("its own trial failed").isTrue();
    }

    @Test
    void aWordOnAnotherProcessOrAnUnknownCacheDoesNothing() {
        look(CACHES);
        lookout.say(List.of(new Said(ONE, 6, Word.FAILS, 2, 0, 0), new Said(new NodeId(9), 5, Word.FAILS, 2, 0, 0)));
        assertThat(orders).isEmpty();
    }
}
