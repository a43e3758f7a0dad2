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

/** A baseline: all-to-all heartbeats, one per period. A member that has not been heard from for five periods is considered failed. */
final class HeartbeatMembership implements MembershipVariant, MembershipProtocol {
    private static final double TIMEOUT_PERIODS = 5;

    private final MembershipHost host;
    private final double periodMs;
    private final MemberEntry self;
    private final Map<MemberName, MemberEntry> known = new LinkedHashMap<>();
    private final Map<MemberName, Double> lastHeardAtMs = new LinkedHashMap<>();
    private List<InetSocketAddress> addresses = List.of();
    private double currentMs;
    private double nextSendAtMs;

    HeartbeatMembership(MembershipHost host, double periodMs, MemberEntry self) {
        this.host = host;
        this.periodMs = periodMs;
        this.self = self;
    }

    @Override
    public void begin(double nowMs, List<InetSocketAddress> all) {
        addresses = all;
        nextSendAtMs = nowMs;
        woken(nowMs);
    }

    @Override
    public MembershipProtocol receiver(double nowMs) {
        currentMs = nowMs;
        return this;
    }

    @Override
    public void woken(double nowMs) {
        currentMs = nowMs;
        if (currentMs >= nextSendAtMs) {
            addresses.stream().filter(a -> !a.equals(self.address())).forEach(a -> host.gossip(a, self, List.of()));
            lastHeardAtMs.forEach((name, at) -> {
                MemberEntry entry = known.get(name);
                if (currentMs > at + TIMEOUT_PERIODS * periodMs && entry.state() == State.ALIVE) {
                    update(entry, entry.withState(State.FAILED, 0));
                }
            });
            nextSendAtMs = currentMs + periodMs;
        }
        host.wakeAt(nextSendAtMs);
    }

    private void update(MemberEntry before, MemberEntry after) {
        known.put(after.name(), after);
        host.memberChanged(before, after);
    }

    @Override
    public void connectionRefused(double nowMs, InetSocketAddress peer) {
        // heartbeats are not sent over connected sockets, so nothing is ever refused
    }

    @Override
    public void announceLeave(double nowMs) {
        // the missing heartbeats show it soon enough
    }

    @Override
    public MemberEntry lookup(MemberName name) {
        return name.equals(self.name()) ? self : known.get(name);
    }

    @Override
    public void gossip(InetSocketAddress from, MemberEntry sender, List<MemberEntry> updates) {
        MemberEntry before = known.get(sender.name());
        lastHeardAtMs.put(sender.name(), currentMs);
        if (before == null || before.state() != State.ALIVE || !before.generation().equals(sender.generation())) {
            update(before, sender);
        }
    }

    @Override
    public void ping(InetSocketAddress peer, MemberEntry sender, long sequence, MemberName target, List<MemberEntry> updates) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void ack(InetSocketAddress peer, MemberEntry sender, long sequence, MemberEntry subject, List<MemberEntry> updates) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void nack(InetSocketAddress peer, MemberEntry sender, long sequence) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void pingRequest(InetSocketAddress peer, MemberEntry sender, long sequence, MemberEntry target, List<MemberEntry> updates) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void digests(InetSocketAddress peer, MemberEntry sender, boolean isReply, int[] digests) {
        throw new UnsupportedOperationException();
    }
}
