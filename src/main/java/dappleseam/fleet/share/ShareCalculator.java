package dappleseam.fleet.share;

import dappleseam.fleet.membership.MemberName;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Calculates this process's share of fleet-wide limits: half is divided evenly, half in proportion to traffic. The shares of all
 * running members add up to one, within the margins given in docs/fleet-design.md. Performs no I/O; times are ms of this process's
 * clock. Not thread-safe.
 */
public final class ShareCalculator {
    /** Part of the limits that is divided evenly. Divided by the fleet size, it is the share of a member with the least traffic. */
    public static final double EVEN_PART = 0.5;
    /** Periods until all members have an announcement; until then an increase of traffic is not in effect. */
    public static final double PROPAGATION_PERIODS = 3;
    /** Periods by which an increase takes effect later for the member itself than for the others: two of their update intervals. */
    private static final double OWN_DELAY_PERIODS = 0.5;
    /** Periods per member, after a partition has healed, until all members have repeated their announcements. */
    public static final double REANNOUNCE_PERIODS_PER_MEMBER = 0.25;
    /**
     * Maximum factor by which a member's weight may grow while members are missing, relative to its weight before. The missing members
     * cannot learn of an increase.
     */
    public static final double MAX_GROWTH_WHILE_MISSING = 1.25;
    /** Fraction of the members whose absence is negligible: in a large fleet some member is nearly always suspected. */
    private static final double NEGLIGIBLE_FRACTION = 0.05;
    /** Added to each rate, in queries per second. Rates are whole numbers, and the weights of 0 and 1 must not differ too much. */
    private static final int BASE_RATE = 1;
    /** Maximum weight as a multiple of the mean of the lower half of all weights, which bounds a member that announces absurd traffic. */
    private static final double MAX_RATE_FACTOR = 64;

    private final MemberName self;
    private final double periodMs;
    /** The latest traffic of each counted member that has announced it, this one included. */
    private final Map<MemberName, Received> received = new HashMap<>();
    /** Members that went missing in the current partition. */
    private final Set<MemberName> missingTogether = new HashSet<>();
    /** Fewest members known by name during the current partition; {@link Integer#MAX_VALUE} if there is none. */
    private int fewestKnown = Integer.MAX_VALUE;
    /** This member's own weight before the partition. */
    private double weightBefore = Double.NaN;
    /** Until when the members that came back are still repeating their announcements. */
    private double reannounceUntil = Double.NEGATIVE_INFINITY;

    private record Received(AnnouncedTraffic traffic, double receivedAtMs, int location) {
        AnnouncedTraffic trafficAt(double nowMs) {
            return traffic.agedBy(nowMs - receivedAtMs);
        }
    }

    public ShareCalculator(MemberName self, double periodMs) {
        this.self = self;
        this.periodMs = periodMs;
    }

    private double propagationMs() {
        return PROPAGATION_PERIODS * periodMs;
    }

    /** Time in ms after which an increase of its own traffic takes effect for this process, slightly later than for the others. */
    public double ownPropagationMs() {
        return (PROPAGATION_PERIODS + OWN_DELAY_PERIODS) * periodMs;
    }

    /**
     * Takes the announcements of counted members, this process's own included. The last announcement of a silent member stays in
     * effect for as long as the member is counted.
     */
    public void receive(double nowMs, Collection<Announcement> announcements) {
        announcements.forEach(announcement -> received.put(announcement.member(), new Received(announcement.traffic(), nowMs, announcement.location())));
    }

    /** Forgets the announcements of all members other than {@code names}. */
    public void retain(Set<MemberName> names) {
        received.keySet().retainAll(names);
    }

    private Map<MemberName, Double> weights(double nowMs) {
        Map<MemberName, Double> weights = new HashMap<>();
        received.forEach((name, entry) -> weights.put(name, (double) BASE_RATE + entry.trafficAt(nowMs).effective(name.equals(self) ? ownPropagationMs() : propagationMs())));
        return weights;
    }

    /**
     * The rate in queries per second that this process may announce. It is bounded during a partition, when the traffic of both sides
     * may grow and neither learns of the other's, so that the sum of shares stays bounded. The announced rate is limited rather than
     * its weight, so that members that reach each other keep calculating the same weights. {@code names}: counted members, this one
     * included; {@code missing}: those of them that cannot be reached; {@code fleetSize}: at least as many.
     */
    public double announceableRate(double nowMs, double ratePerS, Set<MemberName> names, Set<MemberName> missing, int fleetSize) {
        double negligible = NEGLIGIBLE_FRACTION * fleetSize;
        if (missing.size() + fleetSize - names.size() > negligible) {
            missingTogether.addAll(missing);
            fewestKnown = Math.min(fewestKnown, names.size());
        } else if (fewestKnown < Integer.MAX_VALUE) {
            missingTogether.retainAll(names); // members that have ended need no announcement
            if (missingTogether.size() + names.size() - fewestKnown > negligible) {
                reannounceUntil = nowMs + (PROPAGATION_PERIODS + REANNOUNCE_PERIODS_PER_MEMBER * fleetSize) * periodMs;
            }
            missingTogether.clear();
            fewestKnown = Integer.MAX_VALUE;
        }
        boolean isUnbounded = fewestKnown == Integer.MAX_VALUE && nowMs >= reannounceUntil;
        if (isUnbounded || Double.isNaN(weightBefore)) {
            Double own = weights(nowMs).get(self);
            weightBefore = own == null ? presumedWeight(nowMs) : own;
        }
        return isUnbounded ? ratePerS : Math.min(ratePerS, MAX_GROWTH_WHILE_MISSING * weightBefore - BASE_RATE);
    }

    /** The rate in queries per second that this process counts with until its first announcement. */
    public double presumedPerS(double nowMs) {
        return presumedWeight(nowMs) - BASE_RATE;
    }

    private double presumedWeight(double nowMs) {
        Map<MemberName, Double> others = weights(nowMs);
        others.remove(self);
        return presumedWeight(others.values());
    }

    /** The weight that a member without an announcement assumes for itself, at most what other members presume. */
    private static double presumedWeight(Collection<Double> others) {
        return Math.min(lowerHalfMean(others), others.stream().mapToDouble(rate -> rate).average().orElse(BASE_RATE));
    }

    /**
     * This process's share, from half of an even share to nearly one. {@code names} and {@code fleetSize}: as for
     * {@link #announceableRate}; {@code hasDuplicate}: whether another process runs under this member's name.
     */
    public double share(double nowMs, Set<MemberName> names, int fleetSize, boolean hasDuplicate) {
        Map<MemberName, Double> otherWeights = weights(nowMs);
        Double ownWeight = otherWeights.remove(self);
        double maxWeight = MAX_RATE_FACTOR * lowerHalfMean(otherWeights.values());
        double knownSum = otherWeights.values().stream().mapToDouble(weight -> Math.min(maxWeight, weight)).sum();
        double mean = otherWeights.isEmpty() ? BASE_RATE : knownSum / otherWeights.size();
        double othersSum = knownSum + mean * Math.max(0, fleetSize - 1 - otherWeights.size());
        double own = Math.min(maxWeight, ownWeight == null ? presumedWeight(otherWeights.values()) : ownWeight);
        double even = 1.0 / fleetSize;
        double byTraffic = own / (own + othersSum);
        if (fleetSize - 1 - otherWeights.size() > NEGLIGIBLE_FRACTION * fleetSize) {
            byTraffic = Math.min(byTraffic, even); // a new process may so far know only a few idle members
        }
        return (EVEN_PART * even + (1 - EVEN_PART) * byTraffic) / (hasDuplicate ? 2 : 1);
    }

    /**
     * The traffic of the members at this member's location, for {@link TrafficPosition}; null while too few are known. If the members
     * of each location are spread evenly over the line, so are all members together. {@code names}: as for {@link #share}.
     */
    public Map<MemberName, Double> localTraffic(Set<MemberName> names) {
        if (!received.containsKey(self) || names.size() - received.size() > NEGLIGIBLE_FRACTION * names.size()) {
            return null;
        }
        int ownLocation = received.get(self).location;
        Map<MemberName, Double> traffic = new HashMap<>();
        received.forEach((name, entry) -> {
            if (entry.location == ownLocation) {
                traffic.put(name, (double) BASE_RATE + entry.traffic.current());
            }
        });
        if (ownLocation == Announcement.NO_LOCATION) { // with locations, members without an announcement may be anywhere
            double mean = traffic.values().stream().mapToDouble(rate -> rate).average().orElseThrow();
            names.stream().filter(name -> !received.containsKey(name)).forEach(name -> traffic.put(name, mean));
        }
        return traffic;
    }

    /** Whether members that were missing are back and all members have to repeat their announcements. */
    public boolean isReannouncing(double nowMs) {
        return nowMs < reannounceUntil;
    }

    /** Mean of the lower half, which absurd values cannot raise while they are the minority. */
    private static double lowerHalfMean(Collection<Double> rates) {
        double[] sorted = rates.stream().mapToDouble(rate -> rate).sorted().toArray();
        return Arrays.stream(sorted, 0, (sorted.length + 1) / 2).average().orElse(BASE_RATE);
    }
}
