package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dappleseam.fleet.share.ListTurns;
import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Seen;
import dappleseam.fleet.share.Word;
import dappleseam.router.Learnt;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a proxy announces of its caches, and how it applies the fleet's shares and verdicts. */
class FleetLookoutTest {
    private static final NodeId ONE = new NodeId(1);
    private static final Map<NodeId, Double> CACHES = Map.of(ONE, 5.0, new NodeId(2), 5.0, new NodeId(3), 5.0);

    private final List<Learnt> orders = new ArrayList<>();
    private double now = 10_000;
    private double proxies = 10;
    private double place = Double.NaN;
    private final List<Double> calls = new ArrayList<>();
    private final Lookout.Whole whole = new Lookout.Whole() {
        @Override
        public double proxies() {
            return 10;
        }

        @Override
        public void stands(double to, double where) {
            proxies = to;
            place = where;
        }

        @Override
        public void callIn(double ms) {
            calls.add(ms);
        }
    };
    private final FleetLookout lookout = new FleetLookout(1, orders::addAll, whole, Runnable::run, () -> now);

    private Seen one() {
        return lookout.seen().stream().filter(s -> s.node().equals(ONE)).findFirst().orElseThrow();
    }

    private void look(Map<NodeId, Double> caches, Learnt... learnt) {
        lookout.look(now, List.of(learnt), caches);
    }

    /** A smaller share applies after a moment, a larger one in steps, and without an assignment the share returns to the settings' in steps. */
    @Test
    void whatIsToldOfItsShareBecomesTheProxysByStepsUpAndSoonDown() {
        look(CACHES);
        lookout.stands(0.05, 0.3);
        look(CACHES);
        now += 500;
        look(CACHES);
        assertThat(proxies).as("the smaller share may be short-lived").isEqualTo(10);
        now += 200;
        look(CACHES);
        assertThat(proxies).isCloseTo(20, within(1e-9));
        assertThat(place).isEqualTo(0.3);
        lookout.stands(0.2, 0.3);
        for (int seconds = 1; seconds <= 12; seconds++) {
            now += 1000;
            double before = proxies;
            look(CACHES);
            assertThat(before / proxies).isBetween(1.0, 1.2 + 1e-9);
        }
        assertThat(proxies).isCloseTo(5, within(0.11));
        lookout.stands(Double.NaN, Double.NaN); // turned off
        for (int seconds = 1; seconds <= 12; seconds++) {
            now += 1000;
            look(CACHES);
        }
        assertThat(proxies).isEqualTo(10);
    }

    /** While others report that the list service fails, a failed request is retried at this member's turn; once it works for another, also at this member's turn. */
    @Test
    void callsForTheListGoByTurnsWhereOthersFailToo() {
        look(CACHES);
        assertThat(lookout.listAgainMs(now, 300)).isEqualTo(300);
        lookout.listCalled(now, false);
        look(CACHES);
        assertThat(lookout.seen()).anyMatch(s -> s.node().equals(ListTurns.SERVICE) && s.fails());
        lookout.say(List.of(new Said(ListTurns.SERVICE, 0, Word.FAILS, 4, 0, 7)));
        assertThat(lookout.listAgainMs(now, 300)).isEqualTo(900);
        lookout.say(List.of(new Said(ListTurns.SERVICE, 0, Word.WORKS, 3, 1, 8)));
        assertThat(calls).containsExactly(800.0);
        assertThat(lookout.listAgainMs(now, 300)).isEqualTo(300);
        lookout.listCalled(now, true);
        lookout.say(List.of(new Said(ListTurns.SERVICE, 0, Word.WORKS, 3, 1, 8)));
        assertThat(calls).as("its own request was answered").hasSize(1);
        lookout.say(List.of(new Said(ListTurns.SERVICE, 0, Word.FAILS, 4, 0, 9000)));
        assertThat(lookout.listAgainMs(now, 300)).as("bounded").isEqualTo(4300);
        assertThat(lookout.listAgainMs(now + 6000, 300)).as("the verdict has expired").isEqualTo(300);
    }

    @Test
    void oneLeftWithoutAnAnswerIsASightUntilTheNextAnswerOrStart() {
        look(CACHES);
        lookout.heard(ONE, now, 5);
        lookout.unanswered(ONE, now - 500, now, 500);
        look(CACHES);
        assertThat(one().fails()).as("the cache answered after the execution was sent").isFalse();
        lookout.unanswered(ONE, now + 100, now + 150, 50);
        look(CACHES);
        assertThat(one().fails()).as("unanswered only briefly").isFalse();
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
        assertThat(one().fails()).as("its own probe failed").isTrue();
    }

    @Test
    void aWordOnAnotherProcessOrAnUnknownCacheDoesNothing() {
        look(CACHES);
        lookout.say(List.of(new Said(ONE, 6, Word.FAILS, 2, 0, 0), new Said(new NodeId(9), 5, Word.FAILS, 2, 0, 0)));
        assertThat(orders).isEmpty();
    }
}
