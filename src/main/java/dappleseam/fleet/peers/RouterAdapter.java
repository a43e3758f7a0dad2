package dappleseam.fleet.peers;

import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.LocalObservation;
import java.util.Collection;
import java.util.List;

/** What passes between this proxy's queries and its fleet, on the fleet's thread; none of it may wait. */
public interface RouterAdapter {
    /** What its own executions show of all caches, as it was a moment ago; times of {@link FleetAgent}'s clock. */
    Collection<LocalObservation> observations();

    /** Queries it takes a second; NaN before that can be told. */
    double queriesPerS();

    /** What others say, where it has changed or from time to time. */
    void onVerdicts(List<PeerVerdict> words);

    /** What this proxy may take of the whole, over 0 to 1, and where it stands among all, 0 to 1; NaN for what is not told. Again and again. */
    void onShare(double share, double place);
}
