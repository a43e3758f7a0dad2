package dappleseam.fleet.peers;

import dappleseam.fleet.membership.Correspondent;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.share.Bulletin;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The content of one datagram: a lease message or announcements (docs/fleet-design.md), or a call of {@link MembershipProtocol}. Every message carries the
 * sender's own entry. Fields that a kind does not use are null or empty.
 */
public record Letter(Kind kind, Notice self, long number, MemberName target, Notice about, List<Notice> news, boolean answer, int[] sums,
                     Ballot ballot, List<Bulletin> bulletins) {
    /**
     * The ordinal is the wire format: new kinds go to the end. ASK is a ping request, SUMS are digests, TELL is gossip, BALLOT is a lease message, and
     * BULLETINS are announcements.
     */
    public enum Kind { PING, ACK, NACK, ASK, SUMS, TELL, BALLOT, BULLETINS }

    /** A membership message. */
    public Letter(Kind kind, Notice self, long number, MemberName target, Notice about, List<Notice> news, boolean answer, int[] sums) {
        this(kind, self, number, target, about, news, answer, sums, null, null);
    }

    public static Letter of(Notice self, Ballot ballot) {
        return new Letter(Kind.BALLOT, self, 0, null, null, List.of(), false, null, ballot, null);
    }

    public static Letter of(Notice self, List<Bulletin> bulletins) {
        return new Letter(Kind.BULLETINS, self, 0, null, null, List.of(), false, null, null, bulletins);
    }

    /** The same message with other membership updates. */
    public Letter with(List<Notice> other) {
        return new Letter(kind, self, number, target, about, other, answer, sums, ballot, bulletins);
    }

    /** Calls the method for this kind. Of a lease message and of announcements, the membership gets only the sender's entry. */
    public void tell(InetSocketAddress from, Correspondent to) {
        switch (kind) {
            case PING -> to.ping(from, self, number, target, news);
            case ACK -> to.ack(from, self, number, about, news);
            case NACK -> to.nack(from, self, number);
            case ASK -> to.ask(from, self, number, about, news);
            case SUMS -> to.sums(from, self, answer, sums);
            case TELL -> to.tell(from, self, news);
            case BALLOT, BULLETINS -> to.tell(from, self, List.of());
        }
    }
}
