package dappleseam.fleet.peers;

import dappleseam.fleet.membership.MembershipProtocol;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.share.Announcement;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * One datagram, read: a ballot or bulletins (docs/fleet-design.md), or what {@link MembershipProtocol} has a method for each kind of. Fields that its kind has no use
 * for are null or empty.
 */
public record Letter(Kind kind, MemberEntry self, long number, MemberName target, MemberEntry about, List<MemberEntry> news, boolean answer, int[] sums,
                     Ballot ballot, List<Announcement> bulletins) {
    /** Their order is what goes out; new ones come at the end. */
    public enum Kind { PING, ACK, NACK, ASK, SUMS, TELL, BALLOT, BULLETINS }

    /** One for the membership. */
    public Letter(Kind kind, MemberEntry self, long number, MemberName target, MemberEntry about, List<MemberEntry> news, boolean answer, int[] sums) {
        this(kind, self, number, target, about, news, answer, sums, null, null);
    }

    public static Letter of(MemberEntry self, Ballot ballot) {
        return new Letter(Kind.BALLOT, self, 0, null, null, List.of(), false, null, ballot, null);
    }

    public static Letter of(MemberEntry self, List<Announcement> bulletins) {
        return new Letter(Kind.BULLETINS, self, 0, null, null, List.of(), false, null, null, bulletins);
    }

    public Letter with(List<MemberEntry> other) {
        return new Letter(kind, self, number, target, about, other, answer, sums, ballot, bulletins);
    }

    /** Passes it on to whom it concerns; a ballot concerns none of these. */
    public void tell(InetSocketAddress from, MembershipProtocol to) {
        switch (kind) {
            case PING -> to.ping(from, self, number, target, news);
            case ACK -> to.ack(from, self, number, about, news);
            case NACK -> to.nack(from, self, number);
            case ASK -> to.pingRequest(from, self, number, about, news);
            case SUMS -> to.digests(from, self, answer, sums);
            case TELL -> to.gossip(from, self, news);
            case BALLOT, BULLETINS -> to.gossip(from, self, List.of());
        }
    }
}
