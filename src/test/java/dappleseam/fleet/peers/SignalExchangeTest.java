package dappleseam.fleet.peers;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.MembershipHost;
import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.share.FleetFeatures;
import dappleseam.fleet.share.ListRetrySchedule;
import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.LocalObservation;
import dappleseam.lab.fleet.SimulatedFleet;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The signal exchange of one proxy: features on their own, and turned off at run time. */
class SignalExchangeTest {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final List<Double> shares = new ArrayList<>();
    private double now = 1000;

    private SignalExchange exchange(FleetFeatures features) {
        MemberEntry self = new MemberEntry(new MemberName("a"), SimulatedFleet.address(1), new Generation(1, 1), 0, MemberEntry.State.ALIVE, 0);
        MembershipHost host = (MembershipHost) java.lang.reflect.Proxy.newProxyInstance(MembershipHost.class.getClassLoader(), new Class<?>[] {MembershipHost.class},
                (proxy, method, args) -> null);
        Membership membership = new Membership(MembershipConfig.defaults(4), self, host, new SplittableRandom(1), now);
        membership.begin(now, List.of());
        RouterAdapter adapter = new RouterAdapter() {
            @Override
            public Collection<LocalObservation> observations() {
                return List.of(new LocalObservation(new NodeId(7), 5, true, now, NEVER), new LocalObservation(ListRetrySchedule.LIST_SERVICE, 0, true, now, NEVER));
            }

            @Override
            public double queriesPerS() {
                return 10;
            }

            @Override
            public void onVerdicts(List<PeerVerdict> verdicts) { }

            @Override
            public void onShare(double share, double position) {
                shares.add(share);
            }
        };
        return new SignalExchange(membership, 1000, 100, 2, features, adapter, (to, announcements) -> { }, new SplittableRandom(1), now);
    }

    private void runRound(SignalExchange exchange) {
        now += 300;
        exchange.woken(now);
    }

    @Test
    void disablingAFeatureTakesEffectAtOnce() {
        SignalExchange exchange = exchange(new FleetFeatures(true, true, false, false));
        runRound(exchange);
        assertThat(shares).singleElement().satisfies(share -> assertThat(share).isBetween(0.0, 0.25 + 1e-9));
        assertThat(exchange.latestVerdicts()).isNotNull();
        exchange.setFeatures(new FleetFeatures(true, false, false, false));
        runRound(exchange);
        assertThat(exchange.share()).isNaN();
        assertThat(shares).hasSize(1);
        assertThat(exchange.wakeAt()).isFinite();
        exchange.setFeatures(FleetFeatures.NONE);
        assertThat(exchange.latestVerdicts()).isNull();
        assertThat(exchange.wakeAt()).isInfinite();
    }

    @Test
    void sharesAloneGiveNoCacheVerdicts() {
        SignalExchange exchange = exchange(new FleetFeatures(false, true, false, false));
        runRound(exchange);
        assertThat(exchange.latestVerdicts()).isNull();
    }
}
