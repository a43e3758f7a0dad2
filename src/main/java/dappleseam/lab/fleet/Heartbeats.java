package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MembershipProtocol;
import dappleseam.fleet.membership.MembershipHost;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MemberEntry.State;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A baseline: each tells each that it is there, once a period, and holds for failed whom it has not heard for five. */
final class Heartbeats implements MembershipVariant, MembershipProtocol {
    private static final double SILENT_PERIODS = 5;

    private final MembershipHost host;
    private final double periodMs;
    private final MemberEntry self;
    private final Map<MemberName, MemberEntry> known = new LinkedHashMap<>();
    private final Map<MemberName, Double> heardAt = new LinkedHashMap<>();
    private List<InetSocketAddress> addresses = List.of();
    private double now;
    private double nextAt;

    Heartbeats(MembershipHost host, double periodMs, MemberEntry self) {
        this.host = host;
        this.periodMs = periodMs;
        this.self = self;
    }

    @Override
    public void begin(double nowMs, List<InetSocketAddress> all) {
        addresses = all;
        nextAt = nowMs;
        woken(nowMs);
    }

    @Override
    public MembershipProtocol receiver(double nowMs) {
        now = nowMs;
        return this;
    }

    @Override
    public void woken(double nowMs) {
        now = nowMs;
        if (now >= nextAt) {
            addresses.stream().filter(a -> !a.equals(self.address())).forEach(a -> host.gossip(a, self, List.of()));
            heardAt.forEach((name, at) -> {
                MemberEntry notice = known.get(name);
                if (now > at + SILENT_PERIODS * periodMs && notice.state() == State.ALIVE) {
                    see(notice, notice.withState(State.FAILED, 0));
                }
            });
            nextAt = now + periodMs;
        }
        host.wakeAt(nextAt);
    }

    private void see(MemberEntry before, MemberEntry after) {
        known.put(after.name(), after);
        host.memberChanged(before, after);
    }

    @Override
    public void connectionRefused(double nowMs, InetSocketAddress peer) {
        // nobody is called
    }

    @Override
    public void announceLeave(double nowMs) {
        // it is missed soon enough
    }

    @Override
    public MemberEntry lookup(MemberName name) {
        return name.equals(self.name()) ? self : known.get(name);
    }

    @Override
    public void gossip(InetSocketAddress from, MemberEntry sender, List<MemberEntry> news) {
        MemberEntry before = known.get(sender.name());
        heardAt.put(sender.name(), now);
        if (before == null || before.state() != State.ALIVE || !before.generation().equals(sender.generation())) {
            see(before, sender);
        }
    }

    @Override
    public void ping(InetSocketAddress peer, MemberEntry sender, long number, MemberName target, List<MemberEntry> news) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void ack(InetSocketAddress peer, MemberEntry sender, long number, MemberEntry about, List<MemberEntry> news) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void nack(InetSocketAddress peer, MemberEntry sender, long number) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void pingRequest(InetSocketAddress peer, MemberEntry sender, long number, MemberEntry target, List<MemberEntry> news) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void digests(InetSocketAddress peer, MemberEntry sender, boolean answer, int[] sums) {
        throw new UnsupportedOperationException();
    }
}
