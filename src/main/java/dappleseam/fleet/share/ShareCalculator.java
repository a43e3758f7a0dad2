package dappleseam.fleet.share;

import dappleseam.fleet.membership.MemberName;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What share of the whole this process may take: half of an even one, and half by its traffic. The shares of all that run add up to one, but for the margins that docs/fleet-design.md names.
 * Free of I/O; times are ms of one process's clock. Not for several threads.
 */
public final class ShareCalculator {
    /** Part of the whole that is dealt evenly: what one has whose traffic is least, over the counted fleet. */
    public static final double EVEN_PART = 0.5;
    /** Periods in which what one tells of its traffic is known to all: until then its own word counts for the least of it. */
    public static final double KNOWN_PERIODS = 3;
    /** Periods by which that is later for itself than for the others: two of their looks, which come at times of their own. */
    private static final double OWN_LATER_PERIODS = 0.5;
    /** Periods for each member after a split has healed, in which all have told theirs anew. */
    public static final double TOLD_ANEW_PERIODS = 0.25;
    /** Multiple of what its word counted for before members went missing that it counts for at most until they are back: they cannot know of more. */
    public static final double MISSING_GROWTH = 1.25;
    /** Share of the members whose absence makes no difference that matters: somebody is nearly always suspected in a large fleet. */
    private static final double FEW = 0.05;
    /** What comes on top of each rate, in queries a second: rates are told in whole ones, and none and one must not be worlds apart. */
    private static final int LEAST_RATE = 1;
    /** Multiple of the mean of the lesser half of all rates that one counts for at most: guards against one that tells of absurd traffic. */
    private static final double MOST_TIMES = 64;

    private final MemberName self;
    private final double periodMs;
    /** Of members that are counted and have told, this one among them. */
    private final Map<MemberName, Heard> heard = new HashMap<>();
    /** Members that were missing together, and the fewest that were known meanwhile; what its own word counted for before; until when those that came back are still telling theirs. */
    private final Set<MemberName> missed = new HashSet<>();
    private int present = Integer.MAX_VALUE;
    private double before = Double.NaN;
    private double anewUntil = Double.NEGATIVE_INFINITY;

    private record Heard(AnnouncedTraffic traffic, double atMs, int location) {
        AnnouncedTraffic at(double nowMs) {
            return traffic.olderBy(nowMs - atMs);
        }
    }

    public ShareCalculator(MemberName self, double periodMs) {
        this.self = self;
        this.periodMs = periodMs;
    }

    private double knownMs() {
        return KNOWN_PERIODS * periodMs;
    }

    /** Time in ms after which more traffic of its own counts for this process: a little after it does for the others. */
    public double ownPropagationMs() {
        return (KNOWN_PERIODS + OWN_LATER_PERIODS) * periodMs;
    }

    /** Bulletins that count, this process's own among them once it has told one. What those told who are silent now goes on to count for as long as they are counted. */
    public void receive(double nowMs, Collection<Announcement> bulletins) {
        bulletins.forEach(bulletin -> heard.put(bulletin.member(), new Heard(bulletin.traffic(), nowMs, bulletin.location())));
    }

    /** From now on only those are counted: what others told is forgotten. */
    public void retain(Set<MemberName> names) {
        heard.keySet().retainAll(names);
    }

    private Map<MemberName, Double> weights(double nowMs) {
        Map<MemberName, Double> weights = new HashMap<>();
        heard.forEach((name, one) -> weights.put(name, (double) LEAST_RATE + one.at(nowMs).inForce(name.equals(self) ? ownPropagationMs() : knownMs())));
        return weights;
    }

    /**
     * What of its own traffic this process may tell, queries a second. Guards the sum in a split: both halves' traffic may grow, and neither can hear of the other's. Told less rather than
     * counted for less, so that all who hear each other go on counting alike. {@code names}: members that are counted, this one among them; {@code missing}: those of them that cannot be
     * heard; {@code counted}: the counted fleet, at least as many.
     */
    public double announceableRate(double nowMs, double ratePerS, Set<MemberName> names, Set<MemberName> missing, int counted) {
        double few = FEW * counted;
        if (missing.size() + counted - names.size() > few) {
            missed.addAll(missing);
            present = Math.min(present, names.size());
        } else if (present < Integer.MAX_VALUE) {
            missed.retainAll(names); // those that are proved ended need not hear of anything
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

    /** Queries a second that this process counts for until it has told. */
    public double presumedPerS(double nowMs) {
        return unknown(nowMs) - LEAST_RATE;
    }

    private double unknown(double nowMs) {
        Map<MemberName, Double> others = weights(nowMs);
        others.remove(self);
        return unknown(others.values());
    }

    /** What one counts for of whom nothing is known, by itself: less than others may take it for. */
    private static double unknown(Collection<Double> others) {
        return Math.min(lesserMean(others), others.stream().mapToDouble(rate -> rate).average().orElse(LEAST_RATE));
    }

    /** From half of an even share to nearly all. {@code names} and {@code counted} as for {@link #announceableRate}; {@code hasTwin}: whether another process goes by this one's name. */
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
            byTraffic = Math.min(byTraffic, even); // guards against a new process that has heard of a few idle ones only
        }
        return (EVEN_PART * even + (1 - EVEN_PART) * byTraffic) / (hasTwin ? 2 : 1);
    }

    /**
     * Traffic of the members at this one's location as all others have it, by which they stand in order; null while too few are known. Where each location's members are spread evenly over
     * a line, so are all together. {@code names}: as for {@link #share}.
     */
    public Map<MemberName, Double> localTraffic(Set<MemberName> names) {
        if (!heard.containsKey(self) || names.size() - heard.size() > FEW * names.size()) {
            return null;
        }
        int here = heard.get(self).location;
        Map<MemberName, Double> traffic = new HashMap<>();
        heard.forEach((name, one) -> {
            if (one.location == here) {
                traffic.put(name, (double) LEAST_RATE + one.traffic.current());
            }
        });
        if (here == Announcement.NO_LOCATION) { // else those that are not known may be anywhere
            double mean = traffic.values().stream().mapToDouble(rate -> rate).average().orElseThrow();
            names.stream().filter(name -> !heard.containsKey(name)).forEach(name -> traffic.put(name, mean));
        }
        return traffic;
    }

    /** Whether those that were missing are back, and all have to hear of each other's traffic anew. */
    public boolean isReannouncing(double nowMs) {
        return nowMs < anewUntil;
    }

    /** One absurd word, or many, cannot lift it while they are the fewer. */
    private static double lesserMean(Collection<Double> rates) {
        double[] sorted = rates.stream().mapToDouble(rate -> rate).sorted().toArray();
        return Arrays.stream(sorted, 0, (sorted.length + 1) / 2).average().orElse(LEAST_RATE);
    }
}
