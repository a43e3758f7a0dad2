package dappleseam.fleet.peers;

import dappleseam.fleet.membership.FleetHost;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.peers.Letter.Kind;
import java.net.InetSocketAddress;
import java.util.List;

/** A membership host that sends every call as a {@link FleetMessage}, over sockets or in simulated time. */
public abstract class LetterHost implements FleetHost {
    protected abstract void send(InetSocketAddress to, Letter letter);

    /** A ping, also for {@link #pingConnected}. */
    protected static Letter pingOf(Notice self, long number, MemberName target, List<Notice> news) {
        return new Letter(Kind.PING, self, number, target, null, news, false, null);
    }

    @Override
    public void ping(InetSocketAddress peer, Notice self, long number, MemberName target, List<Notice> news) {
        send(peer, pingOf(self, number, target, news));
    }

    @Override
    public void ack(InetSocketAddress peer, Notice self, long number, Notice about, List<Notice> news) {
        send(peer, new Letter(Kind.ACK, self, number, null, about, news, false, null));
    }

    @Override
    public void nack(InetSocketAddress peer, Notice self, long number) {
        send(peer, new Letter(Kind.NACK, self, number, null, null, List.of(), false, null));
    }

    @Override
    public void ask(InetSocketAddress peer, Notice self, long number, Notice target, List<Notice> news) {
        send(peer, new Letter(Kind.ASK, self, number, null, target, news, false, null));
    }

    @Override
    public void sums(InetSocketAddress peer, Notice self, boolean answer, int[] sums) {
        send(peer, new Letter(Kind.SUMS, self, 0, null, null, List.of(), answer, sums));
    }

    @Override
    public void tell(InetSocketAddress peer, Notice self, List<Notice> news) {
        send(peer, new Letter(Kind.TELL, self, 0, null, null, news, false, null));
    }
}
