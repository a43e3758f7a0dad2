package dappleseam.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The messages between members, one method per kind of datagram. {@link MembershipHost} sends them and {@link Membership} receives
 * them: {@code address} is the recipient's there and the sender's here. {@code self}: the sender's own entry; {@code sequence}: ties a
 * reply to its ping; {@code updates}: gossip, at most {@link Membership#MAX_UPDATE_BYTES}.
 */
public interface MembershipProtocol {
    /** Asks the member {@code target} for an ack; null addresses any member at that address. */
    void ping(InetSocketAddress address, MemberEntry self, long sequence, MemberName target, List<MemberEntry> updates);

    /** Answers a ping; if {@code subject} is not null, it answered a ping that was sent on the recipient's request. */
    void ack(InetSocketAddress address, MemberEntry self, long sequence, MemberEntry subject, List<MemberEntry> updates);

    /** The member that the recipient asked to have pinged has not answered the sender in time; the sender itself is reachable. */
    void nack(InetSocketAddress address, MemberEntry self, long sequence);

    /** Asks the recipient to ping {@code target} on the sender's behalf (an indirect probe). */
    void pingRequest(InetSocketAddress address, MemberEntry self, long sequence, MemberEntry target, List<MemberEntry> updates);

    /** Digests of the buckets of the sender's view; {@code isReply}: whether they answer the recipient's own. */
    void digests(InetSocketAddress address, MemberEntry self, boolean isReply, int[] digests);

    /** Gossip, or the entries of view buckets that differ. */
    void gossip(InetSocketAddress address, MemberEntry self, List<MemberEntry> updates);
}
