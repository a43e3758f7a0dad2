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

/** One proxy's desk: each choice by itself, and turned off while it runs. */
class SignalDeskTest {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final List<Double> shares = new ArrayList<>();
    private double now = 1000;

    private SignalExchange desk(FleetFeatures choices) {
        MemberEntry self = new MemberEntry(new MemberName("a"), SimulatedFleet.address(1), new Generation(1, 1), 0, MemberEntry.State.ALIVE, 0);
        MembershipHost nobody = (MembershipHost) java.lang.reflect.Proxy.newProxyInstance(MembershipHost.class.getClassLoader(), new Class<?>[] {MembershipHost.class},
                (proxy, method, args) -> null);
        Membership membership = new Membership(MembershipConfig.defaults(4), self, nobody, new SplittableRandom(1), now);
        membership.begin(now, List.of());
        RouterAdapter seen = new RouterAdapter() {
            @Override
            public Collection<LocalObservation> observations() {
                return List.of(new LocalObservation(new NodeId(7), 5, true, now, NEVER), new LocalObservation(ListRetrySchedule.LIST_SERVICE, 0, true, now, NEVER));
            }

            @Override
            public double queriesPerS() {
                return 10;
            }

            @Override
            public void onVerdicts(List<PeerVerdict> words) { }

            @Override
            public void onShare(double share, double place) {
                shares.add(share);
            }
        };
        return new SignalExchange(membership, 1000, 100, 2, choices, seen, (to, news) -> { }, new SplittableRandom(1), now);
    }

    private void look(SignalExchange desk) {
        now += 300;
        desk.woken(now);
    }

    @Test
    void aChoiceThatIsTurnedOffEndsAtOnce() {
        SignalExchange desk = desk(new FleetFeatures(true, true, false, false));
        look(desk);
        assertThat(shares).singleElement().satisfies(share -> assertThat(share).isBetween(0.0, 0.25 + 1e-9));
        assertThat(desk.said()).isNotNull();
        desk.choose(new FleetFeatures(true, false, false, false));
        look(desk);
        assertThat(desk.share()).isNaN();
        assertThat(shares).hasSize(1);
        assertThat(desk.wakeAt()).isFinite();
        desk.choose(FleetFeatures.NONE);
        assertThat(desk.said()).isNull();
        assertThat(desk.wakeAt()).isInfinite();
    }

    @Test
    void sharesAloneSayNothingOfCaches() {
        SignalExchange desk = desk(new FleetFeatures(false, true, false, false));
        look(desk);
        assertThat(desk.said()).isNull();
    }
}
