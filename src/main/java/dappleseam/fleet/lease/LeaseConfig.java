package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What holds for all leases of a fleet, the same at all its members. {@code voters}: three or five (one to nine are taken), in the file's
 * order; {@code number}: of the set, one more with each change. {@code leaseMs}: from a voter's answer until it may answer another. {@code drift}: by
 * what share of true time a clock may be fast or slow, 0 to 0.1.
 */
public record LeaseConfig(List<MemberName> voters, int number, double leaseMs, double drift) {
    public static final double DEFAULT_LEASE_MS = 10_000;
    public static final double DEFAULT_DRIFT = 0.01;
    private static final int MOST_VOTERS = 9;

    public LeaseConfig {
        if (voters.isEmpty() || voters.size() > MOST_VOTERS || voters.stream().distinct().count() < voters.size()) {
            throw new IllegalArgumentException("no set of voters");
        }
        voters = List.copyOf(voters);
    }

    /** How many make a majority. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /** For how long by its own clock a holder counts what it began to propose: over before the first voter lets go. */
    public double heldMs() {
        return leaseMs * (1 - drift) / (1 + drift);
    }

    /** Tells sets, their order, their number and their times apart: a holder that counts by a longer lease than its voters would act beside the next. */
    public int fingerprint() {
        return (voters.stream().map(MemberName::text).collect(Collectors.joining("/")) + '/' + number + '/' + leaseMs + '/' + drift).hashCode();
    }
}
