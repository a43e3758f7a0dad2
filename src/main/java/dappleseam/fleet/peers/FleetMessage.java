package dappleseam.fleet.peers;

import dappleseam.fleet.membership.MembershipProtocol;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.share.Announcement;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The content of one datagram: a lease message or announcements (docs/fleet-design.md), or a call of {@link MembershipProtocol}. Every message carries the
 * sender's own entry. {@code sequence}: number of a probe, by which its reply is matched; {@code subject}: the member to probe, or the one that was probed
 * by request; {@code updates}: membership entries sent along; {@code isReply}: whether digests answer those of the recipient. Fields that a kind does not
 * use are null or empty.
 */
public record FleetMessage(Kind kind, MemberEntry sender, long sequence, MemberName target, MemberEntry subject, List<MemberEntry> updates, boolean isReply, int[] digests,
                     LeaseMessage leaseMessage, List<Announcement> announcements) {
    /**
     * The ordinal is the wire format: new kinds go to the end. ASK is a ping request, SUMS are digests, TELL is gossip, BALLOT is a lease message, and
     * BULLETINS are announcements.
     */
    public enum Kind { PING, ACK, NACK, ASK, SUMS, TELL, BALLOT, BULLETINS }

    /** A membership message. */
    public FleetMessage(Kind kind, MemberEntry sender, long sequence, MemberName target, MemberEntry subject, List<MemberEntry> updates, boolean isReply, int[] digests) {
        this(kind, sender, sequence, target, subject, updates, isReply, digests, null, null);
    }

    /** A lease message. */
    public static FleetMessage of(MemberEntry sender, LeaseMessage leaseMessage) {
        return new FleetMessage(Kind.BALLOT, sender, 0, null, null, List.of(), false, null, leaseMessage, null);
    }

    /** Announcements. */
    public static FleetMessage of(MemberEntry sender, List<Announcement> announcements) {
        return new FleetMessage(Kind.BULLETINS, sender, 0, null, null, List.of(), false, null, null, announcements);
    }

    /** The same message with other membership updates. */
    public FleetMessage withUpdates(List<MemberEntry> newUpdates) {
        return new FleetMessage(kind, sender, sequence, target, subject, newUpdates, isReply, digests, leaseMessage, announcements);
    }

    /** Calls the method for this kind. Of a lease message and of announcements, the membership gets only the sender's entry. */
    public void deliver(InetSocketAddress from, MembershipProtocol to) {
        switch (kind) {
            case PING -> to.ping(from, sender, sequence, target, updates);
            case ACK -> to.ack(from, sender, sequence, subject, updates);
            case NACK -> to.nack(from, sender, sequence);
            case ASK -> to.pingRequest(from, sender, sequence, subject, updates);
            case SUMS -> to.digests(from, sender, isReply, digests);
            case TELL -> to.gossip(from, sender, updates);
            case BALLOT, BULLETINS -> to.gossip(from, sender, List.of());
        }
    }
}
