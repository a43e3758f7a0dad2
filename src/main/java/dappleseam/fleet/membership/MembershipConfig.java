package dappleseam.fleet.membership;

/**
 * What an operator sets of the membership. {@code periodMs}: time between two probes of a healthy member, 20 to 60,000.
 * {@code counted}: members to count until somebody was heard, at least 1. {@code most}: members kept, 2 to 20,000.
 * {@code forgetMs}: time for which one that has ended or left is remembered. {@code localHealth}: whether a slow member doubts itself
 * (off only to measure what it gains). {@code helpers}: how many are asked to probe in one's stead, 0 to 8.
 */
public record MembershipConfig(double periodMs, int initialFleetSize, int maxMembers, double forgetAfterMs, boolean localHealth, int indirectProbes) {
    public static final double DEFAULT_PERIOD_MS = 1000;
    public static final int DEFAULT_MAX_MEMBERS = 10_000;
    public static final double DEFAULT_FORGET_AFTER_MS = 600_000;
    public static final int DEFAULT_INDIRECT_PROBES = 3;

    public static MembershipConfig defaults(int counted) {
        return new MembershipConfig(DEFAULT_PERIOD_MS, counted, DEFAULT_MAX_MEMBERS, DEFAULT_FORGET_AFTER_MS, true, DEFAULT_INDIRECT_PROBES);
    }

    public MembershipConfig withPeriod(double ms) {
        return new MembershipConfig(ms, initialFleetSize, maxMembers, forgetAfterMs, localHealth, indirectProbes);
    }
}
