package dappleseam.fleet.peers;

import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.fleet.share.PeerVerdict;
import java.util.List;
import java.util.Map;

/**
 * Immutable snapshot of what a proxy knows of its fleet, readable from any thread. {@code takenAtMs}: on the monotonic clock of {@code status}.
 * {@code view}: this proxy's own entry first. {@code duplicate}: another process under the same name, or null. {@code rateLimited}: datagrams dropped
 * because too many came in a second. {@code voterActive}: null if this process is not a voter. {@code verdicts}: of the other members on caches, null if
 * turned off. {@code share}: this proxy's share of the fleet's limits; {@code position}: its position among the members; each NaN if unknown or turned off.
 */
public record FleetSnapshot(double takenAtMs, List<MemberEntry> view, MembershipStatus status, int fleetSize, int healthScore, MemberEntry duplicate, long sent,
                       long received, Map<InvalidDatagramException.Reason, Long> dropped, long rateLimited, long droppedForCapacity, double busyMs,
                       List<HeldLease> heldLeases, Boolean voterActive, List<PeerVerdict> verdicts, double share, double position) {
    /** A lease that this process holds, and since when. */
    public record HeldLease(LeaseName lease, Token token, double sinceMs) {}

    /** Number of members in that state. */
    public long membersIn(MemberEntry.State state) {
        return view.stream().filter(n -> n.state() == state).count();
    }
}
