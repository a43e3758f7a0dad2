package dappleseam.fleet.peers;

import dappleseam.fleet.membership.Correspondent;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.share.Bulletin;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * One datagram, read: a ballot or bulletins (docs/fleet-design.md), or what {@link Correspondent} has a method for each kind of. Fields that its kind has no use
 * for are null or empty.
 */
public record Letter(Kind kind, Notice self, long number, MemberName target, Notice about, List<Notice> news, boolean answer, int[] sums,
                     Ballot ballot, List<Bulletin> bulletins) {
    /** Their order is what goes out; new ones come at the end. */
    public enum Kind { PING, ACK, NACK, ASK, SUMS, TELL, BALLOT, BULLETINS }

    /** One for the membership. */
    public Letter(Kind kind, Notice self, long number, MemberName target, Notice about, List<Notice> news, boolean answer, int[] sums) {
        this(kind, self, number, target, about, news, answer, sums, null, null);
    }

    public static Letter of(Notice self, Ballot ballot) {
        return new Letter(Kind.BALLOT, self, 0, null, null, List.of(), false, null, ballot, null);
    }

    public static Letter of(Notice self, List<Bulletin> bulletins) {
        return new Letter(Kind.BULLETINS, self, 0, null, null, List.of(), false, null, null, bulletins);
    }

    public Letter with(List<Notice> other) {
        return new Letter(kind, self, number, target, about, other, answer, sums, ballot, bulletins);
    }

    /** Passes it on to whom it concerns; a ballot concerns none of these. */
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
