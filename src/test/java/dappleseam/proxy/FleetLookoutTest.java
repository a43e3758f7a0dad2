package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dappleseam.fleet.share.ListRetrySchedule;
import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.LocalObservation;
import dappleseam.fleet.share.VerdictKind;
import dappleseam.router.NodeHealth;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a proxy tells of its caches, and what it makes of what it is told. */
class FleetLookoutTest {
    private static final NodeId ONE = new NodeId(1);
    private static final Map<NodeId, Double> CACHES = Map.of(ONE, 5.0, new NodeId(2), 5.0, new NodeId(3), 5.0);

    private final List<NodeHealth> orders = new ArrayList<>();
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

    private LocalObservation one() {
        return lookout.observations().stream().filter(s -> s.node().equals(ONE)).findFirst().orElseThrow();
    }

    private void look(Map<NodeId, Double> caches, NodeHealth... learnt) {
        lookout.look(now, List.of(learnt), caches);
    }

    /** Less after a moment, more by steps, and back by steps where nothing is told; the place with it. */
    @Test
    void whatIsToldOfItsShareBecomesTheProxysByStepsUpAndSoonDown() {
        look(CACHES);
        lookout.onShare(0.05, 0.3);
        look(CACHES);
        now += 500;
        look(CACHES);
        assertThat(proxies).as("it may be for a moment only").isEqualTo(10);
        now += 200;
        look(CACHES);
        assertThat(proxies).isCloseTo(20, within(1e-9));
        assertThat(place).isEqualTo(0.3);
        lookout.onShare(0.2, 0.3);
        for (int seconds = 1; seconds <= 12; seconds++) {
            now += 1000;
            double before = proxies;
            look(CACHES);
            assertThat(before / proxies).isBetween(1.0, 1.2 + 1e-9);
        }
        assertThat(proxies).isCloseTo(5, within(0.11));
        lookout.onShare(Double.NaN, Double.NaN); // turned off
        for (int seconds = 1; seconds <= 12; seconds++) {
            now += 1000;
            look(CACHES);
        }
        assertThat(proxies).isEqualTo(10);
    }

    /** Two say that the list service fails: a call that failed is made again by this one's turn, and at its turn once somebody was answered. */
    @Test
    void callsForTheListGoByTurnsWhereOthersFailToo() {
        look(CACHES);
        assertThat(lookout.listAgainMs(now, 300)).isEqualTo(300);
        lookout.listCalled(now, false);
        look(CACHES);
        assertThat(lookout.observations()).anyMatch(s -> s.node().equals(ListRetrySchedule.LIST_SERVICE) && s.failing());
        lookout.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.FAILS, 4, 0, 7)));
        assertThat(lookout.listAgainMs(now, 300)).isEqualTo(900);
        lookout.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.WORKS, 3, 1, 8)));
        assertThat(calls).containsExactly(800.0);
        assertThat(lookout.listAgainMs(now, 300)).isEqualTo(300);
        lookout.listCalled(now, true);
        lookout.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.WORKS, 3, 1, 8)));
        assertThat(calls).as("its own was answered").hasSize(1);
        lookout.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.FAILS, 4, 0, 9000)));
        assertThat(lookout.listAgainMs(now, 300)).as("bounded").isEqualTo(4300);
        assertThat(lookout.listAgainMs(now + 6000, 300)).as("news that has grown old").isEqualTo(300);
    }

    @Test
    void oneLeftWithoutAnAnswerIsASightUntilTheNextAnswerOrStart() {
        look(CACHES);
        lookout.heard(ONE, now, 5);
        lookout.unanswered(ONE, now - 500, now, 500);
        look(CACHES);
        assertThat(one().failing()).as("it answered meanwhile").isFalse();
        lookout.unanswered(ONE, now + 100, now + 150, 50);
        look(CACHES);
        assertThat(one().failing()).as("not for long").isFalse();
        lookout.unanswered(ONE, now + 100, now + 400, 300);
        look(CACHES);
        assertThat(one().failing()).isTrue();
        look(Map.of(ONE, 6.0));
        assertThat(one().failing()).as("another process").isFalse();
        lookout.unanswered(ONE, now + 100, now + 400, Double.POSITIVE_INFINITY);
        look(Map.of(ONE, 6.0));
        assertThat(one().failing()).isTrue();
        lookout.heard(ONE, now + 500, 5);
        look(Map.of(ONE, 6.0));
        assertThat(one().failing()).isFalse();
    }

    @Test
    void whatItDoesByHearsayIsNoSightOfItsOwn() {
        look(CACHES);
        lookout.onVerdicts(List.of(new PeerVerdict(ONE, 5, VerdictKind.FAILS, 2, 0, 0)));
        assertThat(orders).hasSize(1).allMatch(o -> o.ejectedUntilMs() > now);
        look(CACHES, orders.get(0));
        assertThat(one().failing()).isFalse();
        look(CACHES, new NodeHealth(ONE, 5, 14_321, 0, 0, 0));
        assertThat(one().failing()).as("its own trial failed").isTrue();
    }

    @Test
    void aWordOnAnotherProcessOrAnUnknownCacheDoesNothing() {
        look(CACHES);
        lookout.onVerdicts(List.of(new PeerVerdict(ONE, 6, VerdictKind.FAILS, 2, 0, 0), new PeerVerdict(new NodeId(9), 5, VerdictKind.FAILS, 2, 0, 0)));
        assertThat(orders).isEmpty();
    }
}
