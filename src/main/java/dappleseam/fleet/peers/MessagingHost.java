package dappleseam.fleet.peers;

import dappleseam.fleet.membership.MembershipHost;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.FleetMessage.Kind;
import java.net.InetSocketAddress;
import java.util.List;

/** A membership host that sends every call as a {@link FleetMessage}, over sockets or in simulated time. */
public abstract class MessagingHost implements MembershipHost {
    protected abstract void send(InetSocketAddress to, FleetMessage message);

    /** A ping, also for {@link #pingConnected}. */
    protected static FleetMessage pingMessage(MemberEntry sender, long sequence, MemberName target, List<MemberEntry> updates) {
        return new FleetMessage(Kind.PING, sender, sequence, target, null, updates, false, null);
    }

    @Override
    public void ping(InetSocketAddress peer, MemberEntry self, long sequence, MemberName target, List<MemberEntry> updates) {
        send(peer, pingMessage(self, sequence, target, updates));
    }

    @Override
    public void ack(InetSocketAddress peer, MemberEntry self, long sequence, MemberEntry subject, List<MemberEntry> updates) {
        send(peer, new FleetMessage(Kind.ACK, self, sequence, null, subject, updates, false, null));
    }

    @Override
    public void nack(InetSocketAddress peer, MemberEntry self, long sequence) {
        send(peer, new FleetMessage(Kind.NACK, self, sequence, null, null, List.of(), false, null));
    }

    @Override
    public void pingRequest(InetSocketAddress peer, MemberEntry self, long sequence, MemberEntry target, List<MemberEntry> updates) {
        send(peer, new FleetMessage(Kind.ASK, self, sequence, null, target, updates, false, null));
    }

    @Override
    public void digests(InetSocketAddress peer, MemberEntry self, boolean isReply, int[] digests) {
        send(peer, new FleetMessage(Kind.SUMS, self, 0, null, null, List.of(), isReply, digests));
    }

    @Override
    public void gossip(InetSocketAddress peer, MemberEntry self, List<MemberEntry> updates) {
        send(peer, new FleetMessage(Kind.TELL, self, 0, null, null, updates, false, null));
    }
}
