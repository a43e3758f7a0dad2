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
public record FleetMessage(Kind kind, MemberEntry sender, long number, MemberName target, MemberEntry subject, List<MemberEntry> updates, boolean answer, int[] digests,
                     LeaseMessage leaseMessage, List<Announcement> announcements) {
    /** Their order is what goes out; new ones come at the end. */
    public enum Kind { PING, ACK, NACK, ASK, SUMS, TELL, BALLOT, BULLETINS }

    /** One for the membership. */
    public FleetMessage(Kind kind, MemberEntry self, long number, MemberName target, MemberEntry about, List<MemberEntry> news, boolean answer, int[] sums) {
        this(kind, self, number, target, about, news, answer, sums, null, null);
    }

    public static FleetMessage of(MemberEntry self, LeaseMessage ballot) {
        return new FleetMessage(Kind.BALLOT, self, 0, null, null, List.of(), false, null, ballot, null);
    }

    public static FleetMessage of(MemberEntry self, List<Announcement> bulletins) {
        return new FleetMessage(Kind.BULLETINS, self, 0, null, null, List.of(), false, null, null, bulletins);
    }

    public FleetMessage withUpdates(List<MemberEntry> other) {
        return new FleetMessage(kind, sender, number, target, subject, other, answer, digests, leaseMessage, announcements);
    }

    /** Passes it on to whom it concerns; a ballot concerns none of these. */
    public void deliver(InetSocketAddress from, MembershipProtocol to) {
        switch (kind) {
            case PING -> to.ping(from, sender, number, target, updates);
            case ACK -> to.ack(from, sender, number, subject, updates);
            case NACK -> to.nack(from, sender, number);
            case ASK -> to.pingRequest(from, sender, number, subject, updates);
            case SUMS -> to.digests(from, sender, answer, digests);
            case TELL -> to.gossip(from, sender, updates);
            case BALLOT, BULLETINS -> to.gossip(from, sender, List.of());
        }
    }
}
