package dappleseam.fleet.peers;

import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.fleet.share.PeerVerdict;
import java.util.List;
import java.util.Map;

/**
 * What a proxy knew of its fleet a moment ago; for any thread. {@code view}: itself first. {@code takenAtMs}: of the monotonic clock that
 * {@code standing} goes by. {@code twin}: another process by its name, or null. {@code said}: others' words on caches, null where they are not heard.
 * {@code share}: of the whole, what this proxy may take; {@code place}: where it stands among all; each NaN where it is not told.
 */
public record Snapshot(double takenAtMs, List<MemberEntry> view, MembershipStatus standing, int counted, int health, MemberEntry twin, long sent,
                       long received, Map<InvalidDatagramException.Why, Long> dropped, long flooded, long turnedAway, double busyMs,
                       List<HeldLease> leases, Boolean votes, List<PeerVerdict> said, double share, double place) {
    /** A lease that this process holds since that time. */
    public record HeldLease(LeaseName lease, Token token, double sinceMs) {}

    public long in(MemberEntry.State state) {
        return view.stream().filter(n -> n.state() == state).count();
    }
}
