package dappleseam.fleet.membership;

import java.util.List;

/**
 * A member's own view of its connection to the fleet. {@code sinceMs}: when {@code kind} last changed, on the host's clock;
 * {@code missing}: members it cannot reach directly, at most 32 of them.
 */
public record MembershipStatus(Kind kind, double sinceMs, List<MemberName> missing) {
    /** docs/fleet-design.md says what each kind means for shares and leases. */
    public enum Kind { STARTING, WITH_ALL, CUT_OFF, ALONE, SLOW }
}
