package dappleseam.fleet.membership;

/**
 * Configuration of the membership. {@code periodMs}: time between two probes by a healthy member, 20 to 60,000.
 * {@code initialFleetSize}: the fleet size to assume before all members are known, at least 1. {@code maxMembers}: members kept, 2 to
 * 20,000. {@code forgetAfterMs}: how long members that ended or left are remembered. {@code localHealth}: whether Lifeguard's local
 * health is used (off only to measure what it gains). {@code indirectProbes}: members asked for an indirect probe, 0 to 8.
 */
public record MembershipConfig(double periodMs, int initialFleetSize, int maxMembers, double forgetAfterMs, boolean localHealth, int indirectProbes) {
    public static final double DEFAULT_PERIOD_MS = 1000;
    public static final int DEFAULT_MAX_MEMBERS = 10_000;
    public static final double DEFAULT_FORGET_AFTER_MS = 600_000;
    public static final int DEFAULT_INDIRECT_PROBES = 3;

    public static MembershipConfig defaults(int initialFleetSize) {
        return new MembershipConfig(DEFAULT_PERIOD_MS, initialFleetSize, DEFAULT_MAX_MEMBERS, DEFAULT_FORGET_AFTER_MS, true, DEFAULT_INDIRECT_PROBES);
    }

    public MembershipConfig withPeriod(double ms) {
        return new MembershipConfig(ms, initialFleetSize, maxMembers, forgetAfterMs, localHealth, indirectProbes);
    }
}
