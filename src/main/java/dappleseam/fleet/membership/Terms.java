package dappleseam.fleet.membership;

/**
 * Configuration of the membership. {@code periodMs}: time between two probes by a healthy member, 20 to 60,000.
 * {@code initialFleetSize}: the fleet size to assume before all members are known, at least 1. {@code maxMembers}: members kept, 2 to
 * 20,000. {@code forgetAfterMs}: how long members that ended or left are remembered. {@code localHealth}: whether Lifeguard's local
 * health is used (off only to measure what it gains). {@code indirectProbes}: members asked for an indirect probe, 0 to 8.
 */
public record Terms(double periodMs, int counted, int most, double forgetMs, boolean localHealth, int helpers) {
    public static final double PERIOD_MS = 1000;
    public static final int MOST = 10_000;
    public static final double FORGET_MS = 600_000;
    public static final int HELPERS = 3;

    public static Terms usual(int counted) {
        return new Terms(PERIOD_MS, counted, MOST, FORGET_MS, true, HELPERS);
    }

    public Terms withPeriod(double ms) {
        return new Terms(ms, counted, most, forgetMs, localHealth, helpers);
    }
}
