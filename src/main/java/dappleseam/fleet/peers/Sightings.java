package dappleseam.fleet.peers;

import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Seen;
import java.util.Collection;
import java.util.List;

/** What the fleet thread gets from this proxy's router, and passes to it. Called on the fleet thread; no method may block. */
public interface Sightings {
    /** A recent state of what this proxy's own executions show of all caches, in times of {@link FleetAgent}'s clock. */
    Collection<Seen> seen();

    /** Queries per second that this proxy accepts; NaN until it can be determined. */
    double ratePerS();

    /** Verdicts of the other members, after each change and from time to time. */
    void say(List<Said> words);

    /** This proxy's share of the fleet's limits, over 0 to 1, and its position among the members, 0 to 1; NaN where unknown or turned off. Called repeatedly. */
    void stands(double share, double place);
}
