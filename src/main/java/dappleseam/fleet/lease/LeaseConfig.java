package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Configuration of a fleet's leases, which must be the same at all its members. {@code voters}: three or five in the fleet file's order (the code takes
 * one to nine). {@code number}: version of the voter set, increased by one with each change. {@code leaseMs}: lease time, from a voter's acceptance until
 * it may accept another holder. {@code drift}: by what fraction of true time a clock may run fast or slow, 0 to 0.1. {@code previousLeaseMs}: the longest
 * lease time of an earlier configuration under which a voter may have accepted a holder that is still bound to it.
 */
public record LeaseConfig(List<MemberName> voters, int number, double leaseMs, double drift, double previousLeaseMs) {
    public static final double DEFAULT_LEASE_MS = 10_000;
    public static final double MAX_LEASE_MS = 600_000;
    public static final double DEFAULT_DRIFT = 0.01;
    private static final int MAX_VOTERS = 9;

    public LeaseConfig {
        if (voters.isEmpty() || voters.size() > MAX_VOTERS || voters.stream().distinct().count() < voters.size()) {
            throw new IllegalArgumentException("a voter set needs 1 to 9 distinct voters");
        }
        voters = List.copyOf(voters);
    }

    /** A configuration whose lease time is no shorter than any before it. */
    public LeaseConfig(List<MemberName> voters, int number, double leaseMs, double drift) {
        this(voters, number, leaseMs, drift, leaseMs);
    }

    /** Number of voters that make a majority. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Lease time as a holder counts it on its own clock, from before its request: shorter than {@link #leaseMs}, so that it is over before the first voter
     * may accept another holder.
     */
    public double holderLeaseMs() {
        return leaseMs * (1 - drift) / (1 + drift);
    }

    /**
     * Hash of the configuration, the order of the voters included, but for the previous lease time, which concerns one voter's start only. Voters refuse
     * messages of another configuration: a holder with a longer lease time than its voters would overlap with the next holder.
     */
    public int fingerprint() {
        return (voters.stream().map(MemberName::text).collect(Collectors.joining("/")) + '/' + number + '/' + leaseMs + '/' + drift).hashCode();
    }
}
