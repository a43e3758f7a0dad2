package dappleseam.fleet.membership;

import java.util.List;

/** How a proxy stands with the others, since when in ms of the host's clock, and whom it misses, by name, at most 32 of them. */
public record MembershipStatus(Kind kind, double sinceMs, List<MemberName> missing) {
    /** What each means for those who divide or agree: docs/fleet-design.md. */
    public enum Kind { STARTING, WITH_ALL, CUT_OFF, ALONE, SLOW }
}
