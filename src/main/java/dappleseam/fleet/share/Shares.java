package dappleseam.fleet.share;

import dappleseam.fleet.membership.MemberName;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
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

    /** Words of one member on its traffic that are kept: what comes more often is taken together, the least of it. */
    private static final int MOST_TOLD = 16;

    private final MemberName self;
    private final double periodMs;
    /** Of members that are counted and have told, this one among them. */
    private final Map<MemberName, Track> tracks = new HashMap<>();
    /** Members that were missing together, and the fewest that were known meanwhile; what its own word counted for before; until when those that came back are still telling theirs. */
    private final Set<MemberName> missed = new HashSet<>();
    private int present = Integer.MAX_VALUE;
    private double before = Double.NaN;
    private double anewUntil = Double.NEGATIVE_INFINITY;

    private record Told(double atMs, double ratePerS) {}

    /**
     * What one member told of its traffic. More of it counts once it is known to all, for everybody at the time at which it does for itself: a rise that all share moves no share; less of it
     * counts at once.
     */
    private final class Track {
        final ArrayDeque<Told> told = new ArrayDeque<>();
        boolean isFirst = true;

        void add(double nowMs, Told now) {
            if (told.isEmpty() || told.getLast().ratePerS != now.ratePerS) {
                if (told.size() >= MOST_TOLD) {
                    told.add(new Told(now.atMs, Math.min(told.pollLast().ratePerS, now.ratePerS)));
                } else {
                    told.add(now);
                }
            }
            age(nowMs);
        }

        void age(double nowMs) {
            while (told.size() > 1 && second().atMs <= nowMs - KNOWN_PERIODS * periodMs) {
                told.poll();
                isFirst = false;
            }
        }

        private Told second() {
            Iterator<Told> each = told.iterator();
            each.next();
            return each.next();
        }

        double inForce() {
            return told.stream().mapToDouble(Told::ratePerS).min().orElseThrow();
        }
    }

    public Shares(MemberName self, double periodMs) {
        this.self = self;
        this.periodMs = periodMs;
    }

    /** Bulletins that count, this process's own among them once it has told one. What those told who are silent now goes on to count for as long as they are counted. */
    public void hear(double nowMs, Collection<Bulletin> bulletins) {
        for (Bulletin bulletin : bulletins) {
            tracks.computeIfAbsent(bulletin.who(), who -> new Track()).add(nowMs, new Told(nowMs - bulletin.ageMs(), LEAST_RATE + bulletin.ratePerS()));
        }
        tracks.values().forEach(track -> track.age(nowMs));
    }

    /**
     * From half of an even share to nearly all. {@code names}: members that are counted, this one among them; {@code missing}: those of them that cannot be heard; {@code counted}: the
     * counted fleet, at least as many; {@code hasTwin}: whether another process goes by this one's name.
     */
    public double share(double nowMs, Set<MemberName> names, Set<MemberName> missing, int counted, boolean hasTwin) {
        tracks.keySet().retainAll(names);
        Map<MemberName, Double> rates = new HashMap<>();
        tracks.forEach((name, track) -> rates.put(name, track.inForce()));
        rates.remove(self);
        double lesserMean = lesserMean(rates.values());
        double most = MOST_TIMES * lesserMean;
        double known = rates.values().stream().mapToDouble(rate -> Math.min(most, rate)).sum();
        double mean = rates.isEmpty() ? LEAST_RATE : known / rates.size();
        double others = known + mean * Math.max(0, counted - 1 - rates.size());
        double unknown = Math.min(mean, lesserMean); // itself by less than others may take it for
        double own = bounded(nowMs, Math.min(most, own(nowMs, unknown)), unknown, names, missing, counted);
        double even = 1.0 / counted;
        double byTraffic = own / (own + others);
        if (counted - 1 - rates.size() > FEW * counted) {
            byTraffic = Math.min(byTraffic, even); // guards against a new process that has heard of a few idle ones only
        }
        return (EVEN * even + (1 - EVEN) * byTraffic) / (hasTwin ? 2 : 1);
    }

    /** Traffic of all members as all others have it, by which they stand in order; null while too few are known. {@code names}: as for {@link #share}. */
    public Map<MemberName, Double> traffic(Set<MemberName> names) {
        if (!tracks.containsKey(self) || names.size() - tracks.size() > FEW * names.size()) {
            return null;
        }
        Map<MemberName, Double> traffic = new HashMap<>();
        double mean = tracks.values().stream().mapToDouble(track -> track.told.getLast().ratePerS).average().orElseThrow();
        names.forEach(name -> traffic.put(name, tracks.containsKey(name) ? tracks.get(name).told.getLast().ratePerS : mean));
        return traffic;
    }

    /** The least that others may hold it for by now. */
    private double own(double nowMs, double unknown) {
        Track own = tracks.get(self);
        if (own == null) {
            return unknown;
        }
        boolean isNew = own.isFirst && own.told.getFirst().atMs > nowMs - KNOWN_PERIODS * periodMs; // some have not heard its first word, and take it for any
        return Math.min(isNew ? unknown : Double.POSITIVE_INFINITY, own.inForce());
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
