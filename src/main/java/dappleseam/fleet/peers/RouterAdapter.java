package dappleseam.fleet.peers;

import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.LocalObservation;
import java.util.Collection;
import java.util.List;

/** What the fleet thread gets from this proxy's router, and passes to it. Called on the fleet thread; no method may block. */
public interface RouterAdapter {
    /** A recent state of what this proxy's own executions show of all caches, in times of {@link FleetAgent}'s clock. */
    Collection<LocalObservation> observations();

    /** Queries per second that this proxy accepts; NaN until it can be determined. */
    double queriesPerS();

    /** Verdicts of the other members, after each change and from time to time. */
    void onVerdicts(List<PeerVerdict> verdicts);

    /** This proxy's share of the fleet's limits, over 0 to 1, and its position among the members, 0 to 1; NaN where unknown or turned off. Called repeatedly. */
    void onShare(double share, double position);
}
