package dappleseam.fleet.peers;

import dappleseam.fleet.membership.MembershipHost;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.FleetMessage.Kind;
import java.net.InetSocketAddress;
import java.util.List;

/** A host whose sending is all by letters, on sockets or in simulated time. */
public abstract class MessagingHost implements MembershipHost {
    protected abstract void send(InetSocketAddress to, FleetMessage letter);

    /** A ping as a letter, for {@link #call}, too. */
    protected static FleetMessage pingMessage(MemberEntry self, long number, MemberName target, List<MemberEntry> news) {
        return new FleetMessage(Kind.PING, self, number, target, null, news, false, null);
    }

    @Override
    public void ping(InetSocketAddress peer, MemberEntry self, long number, MemberName target, List<MemberEntry> news) {
        send(peer, pingMessage(self, number, target, news));
    }

    @Override
    public void ack(InetSocketAddress peer, MemberEntry self, long number, MemberEntry about, List<MemberEntry> news) {
        send(peer, new FleetMessage(Kind.ACK, self, number, null, about, news, false, null));
    }

    @Override
    public void nack(InetSocketAddress peer, MemberEntry self, long number) {
        send(peer, new FleetMessage(Kind.NACK, self, number, null, null, List.of(), false, null));
    }

    @Override
    public void pingRequest(InetSocketAddress peer, MemberEntry self, long number, MemberEntry target, List<MemberEntry> news) {
        send(peer, new FleetMessage(Kind.ASK, self, number, null, target, news, false, null));
    }

    @Override
    public void digests(InetSocketAddress peer, MemberEntry self, boolean answer, int[] sums) {
        send(peer, new FleetMessage(Kind.SUMS, self, 0, null, null, List.of(), answer, sums));
    }

    @Override
    public void gossip(InetSocketAddress peer, MemberEntry self, List<MemberEntry> news) {
        send(peer, new FleetMessage(Kind.TELL, self, 0, null, null, news, false, null));
    }
}
