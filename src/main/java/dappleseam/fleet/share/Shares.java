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
public final class Shares {
    /** Part of the limits that is divided evenly. Divided by the fleet size, it is the share of a member with the least traffic. */
    public static final double EVEN = 0.5;
    /** Periods until all members have an announcement; until then an increase of traffic is not in effect. */
    public static final double KNOWN_PERIODS = 3;
    /** Periods by which an increase takes effect later for the member itself than for the others: two of their update intervals. */
    private static final double OWN_LATER_PERIODS = 0.5;
    /** Periods per member, after a partition has healed, until all members have repeated their announcements. */
    public static final double TOLD_ANEW_PERIODS = 0.25;
    /**
     * Maximum factor by which a member's weight may grow while members are missing, relative to its weight before. The missing members
     * cannot learn of an increase.
     */
    public static final double MISSING_GROWTH = 1.25;
    /** Fraction of the members whose absence is negligible: in a large fleet some member is nearly always suspected. */
    private static final double FEW = 0.05;
    /** Added to each rate, in queries per second. Rates are whole numbers, and the weights of 0 and 1 must not differ too much. */
    private static final int LEAST_RATE = 1;
    /** Maximum weight as a multiple of the mean of the lower half of all weights, which bounds a member that announces absurd traffic. */
    private static final double MOST_TIMES = 64;

    private final MemberName self;
    private final double periodMs;
    /** The latest traffic of each counted member that has announced it, this one included. */
    private final Map<MemberName, Heard> heard = new HashMap<>();
    /** Members that went missing in the current partition. */
    private final Set<MemberName> missed = new HashSet<>();
    /** Fewest members known by name during the current partition; {@link Integer#MAX_VALUE} if there is none. */
    private int present = Integer.MAX_VALUE;
    /** This member's own weight before the partition. */
    private double before = Double.NaN;
    /** Until when the members that came back are still repeating their announcements. */
    private double anewUntil = Double.NEGATIVE_INFINITY;

    private record Heard(Traffic traffic, double atMs, int location) {
        Traffic at(double nowMs) {
            return traffic.olderBy(nowMs - atMs);
        }
    }

    public Shares(MemberName self, double periodMs) {
        this.self = self;
        this.periodMs = periodMs;
    }

    private double knownMs() {
        return KNOWN_PERIODS * periodMs;
    }

    /** Time in ms after which an increase of its own traffic takes effect for this process, slightly later than for the others. */
    public double ownMs() {
        return (KNOWN_PERIODS + OWN_LATER_PERIODS) * periodMs;
    }

    /**
     * Takes the announcements of counted members, this process's own included. The last announcement of a silent member stays in
     * effect for as long as the member is counted.
     */
    public void hear(double nowMs, Collection<Bulletin> bulletins) {
        bulletins.forEach(bulletin -> heard.put(bulletin.who(), new Heard(bulletin.traffic(), nowMs, bulletin.location())));
    }

    /** Forgets the announcements of all members other than {@code names}. */
    public void keep(Set<MemberName> names) {
        heard.keySet().retainAll(names);
    }

    private Map<MemberName, Double> weights(double nowMs) {
        Map<MemberName, Double> weights = new HashMap<>();
        heard.forEach((name, one) -> weights.put(name, (double) LEAST_RATE + one.at(nowMs).inForce(name.equals(self) ? ownMs() : knownMs())));
        return weights;
    }

    /**
     * The rate in queries per second that this process may announce. It is bounded during a partition, when the traffic of both sides
     * may grow and neither learns of the other's, so that the sum of shares stays bounded. The announced rate is limited rather than
     * its weight, so that members that reach each other keep calculating the same weights. {@code names}: counted members, this one
     * included; {@code missing}: those of them that cannot be reached; {@code counted}: the fleet size, at least as many.
     */
    public double tellable(double nowMs, double ratePerS, Set<MemberName> names, Set<MemberName> missing, int counted) {
        double few = FEW * counted;
        if (missing.size() + counted - names.size() > few) {
            missed.addAll(missing);
            present = Math.min(present, names.size());
        } else if (present < Integer.MAX_VALUE) {
            missed.retainAll(names); // members that have ended need no announcement
            if (missed.size() + names.size() - present > few) {
                anewUntil = nowMs + (KNOWN_PERIODS + TOLD_ANEW_PERIODS * counted) * periodMs;
            }
            missed.clear();
            present = Integer.MAX_VALUE;
        }
        boolean isFree = present == Integer.MAX_VALUE && nowMs >= anewUntil;
        if (isFree || Double.isNaN(before)) {
            Double own = weights(nowMs).get(self);
            before = own == null ? unknown(nowMs) : own;
        }
        return isFree ? ratePerS : Math.min(ratePerS, MISSING_GROWTH * before - LEAST_RATE);
    }

    /** The rate in queries per second that this process counts with until its first announcement. */
    public double usualPerS(double nowMs) {
        return unknown(nowMs) - LEAST_RATE;
    }

    private double unknown(double nowMs) {
        Map<MemberName, Double> others = weights(nowMs);
        others.remove(self);
        return unknown(others.values());
    }

    /** The weight that a member without an announcement assumes for itself, at most what other members presume. */
    private static double unknown(Collection<Double> others) {
        return Math.min(lesserMean(others), others.stream().mapToDouble(rate -> rate).average().orElse(LEAST_RATE));
    }

    /**
     * This process's share, from half of an even share to nearly one. {@code names} and {@code counted}: as for
     * {@link #announceableRate}; {@code hasDuplicate}: whether another process runs under this member's name.
     */
    public double share(double nowMs, Set<MemberName> names, int counted, boolean hasTwin) {
        Map<MemberName, Double> rates = weights(nowMs);
        Double told = rates.remove(self);
        double most = MOST_TIMES * lesserMean(rates.values());
        double known = rates.values().stream().mapToDouble(rate -> Math.min(most, rate)).sum();
        double mean = rates.isEmpty() ? LEAST_RATE : known / rates.size();
        double others = known + mean * Math.max(0, counted - 1 - rates.size());
        double own = Math.min(most, told == null ? unknown(rates.values()) : told);
        double even = 1.0 / counted;
        double byTraffic = own / (own + others);
        if (counted - 1 - rates.size() > FEW * counted) {
            byTraffic = Math.min(byTraffic, even); // a new process may so far know only a few idle members
        }
        return (EVEN * even + (1 - EVEN) * byTraffic) / (hasTwin ? 2 : 1);
    }

    /**
     * The traffic of the members at this member's location, for {@link TrafficPosition}; null while too few are known. If the members
     * of each location are spread evenly over the line, so are all members together. {@code names}: as for {@link #share}.
     */
    public Map<MemberName, Double> traffic(Set<MemberName> names) {
        if (!heard.containsKey(self) || names.size() - heard.size() > FEW * names.size()) {
            return null;
        }
        int here = heard.get(self).location;
        Map<MemberName, Double> traffic = new HashMap<>();
        heard.forEach((name, one) -> {
            if (one.location == here) {
                traffic.put(name, (double) LEAST_RATE + one.traffic.now());
            }
        });
        if (here == Bulletin.NOWHERE) { // with locations, members without an announcement may be anywhere
            double mean = traffic.values().stream().mapToDouble(rate -> rate).average().orElseThrow();
            names.stream().filter(name -> !heard.containsKey(name)).forEach(name -> traffic.put(name, mean));
        }
        return traffic;
    }

    /** Whether members that were missing are back and all members have to repeat their announcements. */
    public boolean tellsAnew(double nowMs) {
        return nowMs < anewUntil;
    }

    /** Mean of the lower half, which absurd values cannot raise while they are the minority. */
    private static double lesserMean(Collection<Double> rates) {
        double[] sorted = rates.stream().mapToDouble(rate -> rate).sorted().toArray();
        return Arrays.stream(sorted, 0, (sorted.length + 1) / 2).average().orElse(LEAST_RATE);
    }
}
