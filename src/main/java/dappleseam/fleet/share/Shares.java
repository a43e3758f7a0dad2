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
public final class Shares {
    /** Part of the whole that is dealt evenly: what one has whose traffic is least, over the counted fleet. */
    public static final double EVEN = 0.5;
    /** Periods in which what one tells of its traffic is known to all: until then its own word counts for the least of it. */
    public static final double KNOWN_PERIODS = 3;
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

    private record Heard(Traffic traffic, double atMs) {
        Traffic at(double nowMs) {
            return traffic.olderBy(nowMs - atMs);
        }
    }

    public Shares(MemberName self, double periodMs) {
        this.self = self;
        this.periodMs = periodMs;
    }

    /** Time in ms in which what one tells is known to all. */
    public double knownMs() {
        return KNOWN_PERIODS * periodMs;
    }

    /** Bulletins that count, this process's own among them once it has told one. What those told who are silent now goes on to count for as long as they are counted. */
    public void hear(double nowMs, Collection<Bulletin> bulletins) {
        bulletins.forEach(bulletin -> heard.put(bulletin.who(), new Heard(bulletin.traffic(), nowMs)));
    }

    /**
     * From half of an even share to nearly all. {@code names}: members that are counted, this one among them; {@code missing}: those of them that cannot be heard; {@code counted}: the
     * counted fleet, at least as many; {@code hasTwin}: whether another process goes by this one's name.
     */
    public double share(double nowMs, Set<MemberName> names, Set<MemberName> missing, int counted, boolean hasTwin) {
        heard.keySet().retainAll(names);
        Map<MemberName, Double> rates = new HashMap<>();
        heard.forEach((name, one) -> rates.put(name, (double) LEAST_RATE + one.at(nowMs).inForce(knownMs())));
        Double told = rates.remove(self);
        double lesserMean = lesserMean(rates.values());
        double most = MOST_TIMES * lesserMean;
        double known = rates.values().stream().mapToDouble(rate -> Math.min(most, rate)).sum();
        double mean = rates.isEmpty() ? LEAST_RATE : known / rates.size();
        double others = known + mean * Math.max(0, counted - 1 - rates.size());
        double unknown = Math.min(mean, lesserMean); // itself by less than others may take it for
        double own = bounded(nowMs, Math.min(most, told == null ? unknown : told), unknown, names, missing, counted);
        double even = 1.0 / counted;
        double byTraffic = own / (own + others);
        if (counted - 1 - rates.size() > FEW * counted) {
            byTraffic = Math.min(byTraffic, even); // guards against a new process that has heard of a few idle ones only
        }
        return (EVEN * even + (1 - EVEN) * byTraffic) / (hasTwin ? 2 : 1);
    }

    /** Traffic of all members as all others have it, by which they stand in order; null while too few are known. {@code names}: as for {@link #share}. */
    public Map<MemberName, Double> traffic(Set<MemberName> names) {
        if (!heard.containsKey(self) || names.size() - heard.size() > FEW * names.size()) {
            return null;
        }
        Map<MemberName, Double> traffic = new HashMap<>();
        heard.forEach((name, one) -> traffic.put(name, (double) LEAST_RATE + one.traffic.now()));
        double mean = traffic.values().stream().mapToDouble(rate -> rate).average().orElseThrow();
        names.forEach(name -> traffic.putIfAbsent(name, mean));
        return traffic;
    }

    /** Guards the sum in a split: both halves' traffic may grow, and neither can hear of the other's. */
    private double bounded(double nowMs, double own, double unknown, Set<MemberName> names, Set<MemberName> missing, int counted) {
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
        if (present == Integer.MAX_VALUE && nowMs >= anewUntil) {
            before = own;
            return own;
        }
        before = Double.isNaN(before) ? unknown : before;
        return Math.min(own, MISSING_GROWTH * before);
    }

    /** Whether those that were missing are back, and all have to hear of each other's traffic anew. */
    public boolean tellsAnew(double nowMs) {
        return nowMs < anewUntil;
    }

    /** One absurd word, or many, cannot lift it while they are the fewer. */
    private static double lesserMean(Collection<Double> rates) {
        double[] sorted = rates.stream().mapToDouble(rate -> rate).sorted().toArray();
        return Arrays.stream(sorted, 0, (sorted.length + 1) / 2).average().orElse(LEAST_RATE);
    }
}
