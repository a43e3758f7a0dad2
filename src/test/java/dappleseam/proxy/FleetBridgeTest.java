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

/** What a proxy announces of its caches, and how it applies the fleet's shares and verdicts. */
class FleetBridgeTest {
    private static final NodeId ONE = new NodeId(1);
    private static final Map<NodeId, Double> CACHES = Map.of(ONE, 5.0, new NodeId(2), 5.0, new NodeId(3), 5.0);

    private final List<NodeHealth> ejections = new ArrayList<>();
    private double now = 10_000;
    private double proxyCount = 10;
    private double position = Double.NaN;
    private final List<Double> scheduledRequests = new ArrayList<>();
    private final FleetObserver.ProxyCallbacks callbacks = new FleetObserver.ProxyCallbacks() {
        @Override
        public double configuredProxyCount() {
            return 10;
        }

        @Override
        public void shareChanged(double to, double where) {
            proxyCount = to;
            position = where;
        }

        @Override
        public void requestListIn(double ms) {
            scheduledRequests.add(ms);
        }
    };
    private final FleetBridge bridge = new FleetBridge(1, ejections::addAll, callbacks, Runnable::run, () -> now);

    private LocalObservation observedOne() {
        return bridge.observations().stream().filter(s -> s.node().equals(ONE)).findFirst().orElseThrow();
    }

    private void update(Map<NodeId, Double> caches, NodeHealth... nodeHealth) {
        bridge.update(now, List.of(nodeHealth), caches);
    }

    /** A smaller share applies after a moment, a larger one in steps, and without an assignment the share returns to the settings' in steps. */
    @Test
    void assignedShareIsTakenUpInStepsAndDownSoon() {
        update(CACHES);
        bridge.onShare(0.05, 0.3);
        update(CACHES);
        now += 500;
        update(CACHES);
        assertThat(proxyCount).as("the smaller share may be short-lived").isEqualTo(10);
        now += 200;
        update(CACHES);
        assertThat(proxyCount).isCloseTo(20, within(1e-9));
        assertThat(position).isEqualTo(0.3);
        bridge.onShare(0.2, 0.3);
        for (int seconds = 1; seconds <= 12; seconds++) {
            now += 1000;
            double before = proxyCount;
            update(CACHES);
            assertThat(before / proxyCount).isBetween(1.0, 1.2 + 1e-9);
        }
        assertThat(proxyCount).isCloseTo(5, within(0.11));
        bridge.onShare(Double.NaN, Double.NaN); // turned off
        for (int seconds = 1; seconds <= 12; seconds++) {
            now += 1000;
            update(CACHES);
        }
        assertThat(proxyCount).isEqualTo(10);
    }

    /** While others report that the list service fails, a failed request is retried at this member's turn; once it works for another, also at this member's turn. */
    @Test
    void listRequestsAreStaggeredWhenOthersFailToo() {
        update(CACHES);
        assertThat(bridge.listRetryDelayMs(now, 300)).isEqualTo(300);
        bridge.listRequestEnded(now, false);
        update(CACHES);
        assertThat(bridge.observations()).anyMatch(s -> s.node().equals(ListRetrySchedule.LIST_SERVICE) && s.failing());
        bridge.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.FAILS, 4, 0, 7)));
        assertThat(bridge.listRetryDelayMs(now, 300)).isEqualTo(900);
        bridge.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.WORKS, 3, 1, 8)));
        assertThat(scheduledRequests).containsExactly(800.0);
        assertThat(bridge.listRetryDelayMs(now, 300)).isEqualTo(300);
        bridge.listRequestEnded(now, true);
        bridge.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.WORKS, 3, 1, 8)));
        assertThat(scheduledRequests).as("its own request was answered").hasSize(1);
        bridge.onVerdicts(List.of(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.FAILS, 4, 0, 9000)));
        assertThat(bridge.listRetryDelayMs(now, 300)).as("bounded").isEqualTo(4300);
        assertThat(bridge.listRetryDelayMs(now + 6000, 300)).as("the verdict has expired").isEqualTo(300);
    }

    @Test
    void unansweredExecutionIsObservedUntilTheNextAnswerOrStart() {
        update(CACHES);
        bridge.cacheAnswered(ONE, now, 5);
        bridge.unanswered(ONE, now - 500, now, 500);
        update(CACHES);
        assertThat(observedOne().failing()).as("the cache answered after the execution was sent").isFalse();
        bridge.unanswered(ONE, now + 100, now + 150, 50);
        update(CACHES);
        assertThat(observedOne().failing()).as("unanswered only briefly").isFalse();
        bridge.unanswered(ONE, now + 100, now + 400, 300);
        update(CACHES);
        assertThat(observedOne().failing()).isTrue();
        update(Map.of(ONE, 6.0));
        assertThat(observedOne().failing()).as("another process").isFalse();
        bridge.unanswered(ONE, now + 100, now + 400, Double.POSITIVE_INFINITY);
        update(Map.of(ONE, 6.0));
        assertThat(observedOne().failing()).isTrue();
        bridge.cacheAnswered(ONE, now + 500, 5);
        update(Map.of(ONE, 6.0));
        assertThat(observedOne().failing()).isFalse();
    }

    @Test
    void ejectionByVerdictsIsNotObservedAsItsOwn() {
        update(CACHES);
        bridge.onVerdicts(List.of(new PeerVerdict(ONE, 5, VerdictKind.FAILS, 2, 0, 0)));
        assertThat(ejections).hasSize(1).allMatch(o -> o.ejectedUntilMs() > now);
        update(CACHES, ejections.get(0));
        assertThat(observedOne().failing()).isFalse();
        update(CACHES, new NodeHealth(ONE, 5, 14_321, 0, 0, 0));
        assertThat(observedOne().failing()).as("its own probe failed").isTrue();
    }

    @Test
    void verdictsOnOtherProcessesOrUnknownCachesAreIgnored() {
        update(CACHES);
        bridge.onVerdicts(List.of(new PeerVerdict(ONE, 6, VerdictKind.FAILS, 2, 0, 0), new PeerVerdict(new NodeId(9), 5, VerdictKind.FAILS, 2, 0, 0)));
        assertThat(ejections).isEmpty();
    }
}
