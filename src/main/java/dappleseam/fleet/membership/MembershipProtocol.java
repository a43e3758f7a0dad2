package dappleseam.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What passes between members, one method per kind of datagram. Sent through {@link MembershipHost}, heard by {@link Membership}:
 * {@code peer} is where it goes to there, and where it came from here. {@code self} is the sender's own notice, {@code news} what it has to
 * tell, within {@link Membership#MAX_UPDATE_BYTES}.
 */
public interface MembershipProtocol {
    /** Are you there, {@code target}? Null: whoever is there. */
    void ping(InetSocketAddress peer, MemberEntry self, long number, MemberName target, List<MemberEntry> news);

    /** I am; or {@code about} is, whom you asked me to probe. */
    void ack(InetSocketAddress peer, MemberEntry self, long number, MemberEntry about, List<MemberEntry> news);

    /** The one you asked me to probe has not answered me in time, but I am here. */
    void nack(InetSocketAddress peer, MemberEntry self, long number);

    /** Probe {@code target} for me. */
    void pingRequest(InetSocketAddress peer, MemberEntry self, long number, MemberEntry target, List<MemberEntry> news);

    /** Sums over the parts of my view; {@code answer} where they come in return for others. */
    void digests(InetSocketAddress peer, MemberEntry self, boolean answer, int[] sums);

    /** News, or parts of my view. */
    void gossip(InetSocketAddress peer, MemberEntry self, List<MemberEntry> news);
}
