package dappleseam.fleet.peers;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.FleetHost;
import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.membership.Terms;
import dappleseam.fleet.share.Choices;
import dappleseam.fleet.share.ListTurns;
import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Seen;
import dappleseam.lab.fleet.SimulatedFleet;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The signal exchange of one proxy: features on their own, and turned off at run time. */
class SignalDeskTest {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final List<Double> shares = new ArrayList<>();
    private double now = 1000;

    private SignalDesk desk(Choices choices) {
        Notice self = new Notice(new MemberName("a"), SimulatedFleet.address(1), new Life(1, 1), 0, Notice.State.ALIVE, 0);
        FleetHost nobody = (FleetHost) java.lang.reflect.Proxy.newProxyInstance(FleetHost.class.getClassLoader(), new Class<?>[] {FleetHost.class},
                (proxy, method, args) -> null);
        Membership membership = new Membership(Terms.usual(4), self, nobody, new SplittableRandom(1), now);
        membership.begin(now, List.of());
        Sightings seen = new Sightings() {
            @Override
            public Collection<Seen> seen() {
                return List.of(new Seen(new NodeId(7), 5, true, now, NEVER), new Seen(ListTurns.SERVICE, 0, true, now, NEVER));
            }

            @Override
            public double ratePerS() {
                return 10;
            }

            @Override
            public void say(List<Said> words) { }

            @Override
            public void stands(double share, double place) {
                shares.add(share);
            }
        };
        return new SignalDesk(membership, 1000, 100, 2, choices, seen, (to, news) -> { }, new SplittableRandom(1), now);
    }

    private void look(SignalDesk desk) {
        now += 300;
        desk.woken(now);
    }

    @Test
    void aChoiceThatIsTurnedOffEndsAtOnce() {
        SignalDesk desk = desk(new Choices(true, true, false, false));
        look(desk);
        assertThat(shares).singleElement().satisfies(share -> assertThat(share).isBetween(0.0, 0.25 + 1e-9));
        assertThat(desk.said()).isNotNull();
        desk.choose(new Choices(true, false, false, false));
        look(desk);
        assertThat(desk.share()).isNaN();
        assertThat(shares).hasSize(1);
        assertThat(desk.wakeAt()).isFinite();
        desk.choose(Choices.NONE);
        assertThat(desk.said()).isNull();
        assertThat(desk.wakeAt()).isInfinite();
    }

    @Test
    void sharesAloneSayNothingOfCaches() {
        SignalDesk desk = desk(new Choices(false, true, false, false));
        look(desk);
        assertThat(desk.said()).isNull();
    }
}
