package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MemberEntry.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Proves from the proxies' own records of their views, against what was really done, what the membership promises. Free of I/O. */
public final class ViewChecker {
    /** What may be broken. */
    public enum Guarantee {
        /** A process that ended is held for present by one that could have known. */
        LATE,
        /** A process that ran, with nothing wrong with it or with whom says so, was held for failed. */
        FALSE_FAILURE,
        /** A process that ran, with nothing wrong with it, was suspected again and again: nobody probed in another's stead. */
        SUSPECTED_AGAIN,
        /** A process that ran was said to be proved ended. */
        FALSE_END,
        /** One that ended, and was held for failed, came back by old news. */
        RESURRECTION,
        /** At the end, long after all troubles, a view is not right. */
        NO_AGREEMENT,
        /** All together divided by so little that they took more than the whole. */
        MORE_THAN_WHOLE,
        /** All together went by shares that come to more than the whole and their margin. */
        SHARES_OVER_WHOLE,
        /** A process was told by others that a cache fails, and nobody else's record says that it saw so. */
        FALSE_SIGNAL
    }

    /** One broken promise, told with its history. */
    public record Breach(Guarantee promise, double ms, String what) {}

    /** What a process divided the whole by, from then on: the counted fleet, or one over its share. */
    public record Divisor(double ms, long viewer, double divisor) {}

    /** What a process said of a cache by its own sight, or came to hold of it by others' words. */
    public enum Verdict { FAILS, CLEARED, CONVICTED }

    public record CacheVerdict(double ms, long viewer, Verdict verdict, String cache) {}

    /** What processes wrote down. {@code shares}: what those that go by their shares divided by. */
    public record Records(List<ViewChange> viewChanges, List<Divisor> fleetSizes, List<Divisor> shareDivisors, List<CacheVerdict> verdicts) {
        public Records() {
            this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    /**
     * {@code lateMs}: from an end until all know it. {@code graceMs}: after a trouble in which failures are still told.
     * {@code settledMs}: the time at which all views have to be right; what comes later, as the fleet is taken down, tells nothing. {@code rumourMs}: the time without troubles in which a new process
     * gets known to all; until then it comes on top of the whole.
     */
    public record Bounds(double detectionMs, double graceMs, double settledAtMs, double propagationMs) {}

    private static final int MOST_TOLD = 50;
    /** Suspicions of one process that one view may hold within the time of grace: chance brings one, not so many. */
    private static final int MOST_SUSPICIONS = 4;

    /** Time in ms that a sight may be on its way. */
    private static final double TOLD_MS = 2000;

    private final GroundTruth truth;
    private final Bounds bounds;
    private final List<Breach> breaches = new ArrayList<>();
    /** By viewer and member: what was held from when on. */
    private final Map<Long, Map<String, TreeMap<Double, ViewChange>>> held = new HashMap<>();

    private ViewChecker(GroundTruth truth, Bounds bounds) {
        this.truth = truth;
        this.bounds = bounds;
    }

    public static List<Breach> check(GroundTruth truth, Records records, Bounds bounds) {
        ViewChecker checker = new ViewChecker(truth, bounds);
        List<ViewChange> ordered = records.viewChanges.stream().filter(s -> s.ms() <= bounds.settledAtMs()).sorted(Comparator.comparingDouble(ViewChange::ms)).toList();
        ordered.forEach(checker::see);
        checker.late();
        checker.agreement();
        checker.within(records.fleetSizes, Guarantee.MORE_THAN_WHOLE, 0);
        checker.within(records.shareDivisors, Guarantee.SHARES_OVER_WHOLE, shareMargin((int) truth.processes().stream().map(GroundTruth.Process::member).distinct().count()));
        checker.convictions(records.verdicts);
        return checker.breaches.stream().sorted(Comparator.comparingDouble(Breach::ms)).limit(MOST_TOLD).toList();
    }

    private void breach(Guarantee promise, double ms, String what, Object... of) {
        breaches.add(new Breach(promise, ms, String.format(Locale.ROOT, what, of)));
    }

    private void see(ViewChange sight) {
        TreeMap<Double, ViewChange> past = held.computeIfAbsent(sight.viewer(), v -> new HashMap<>())
                .computeIfAbsent(sight.member(), w -> new TreeMap<>());
        ViewChange before = past.isEmpty() ? null : past.lastEntry().getValue();
        past.put(sight.ms(), sight);
        GroundTruth.Process viewer = truth.process(sight.viewer());
        GroundTruth.Process seen = truth.process(sight.nonce());
        if (viewer == null || seen == null) {
            return; // not one of those that were started here
        }
        double from = sight.ms() - bounds.graceMs();
        if (sight.state() == State.FAILED && seen.runsAt(sight.ms()) && isCalm(viewer, from, sight.ms())
                && isCalm(seen, from, sight.ms())) {
            breach(Guarantee.FALSE_FAILURE, sight.ms(), "%s held %s for failed, which ran", viewer.member(), seen.member());
        }
        if (sight.state() == State.SUSPECT && seen.runsAt(sight.ms()) && isCalm(viewer, from, sight.ms()) && isCalm(seen, from, sight.ms())
                && past.subMap(from, true, sight.ms(), true).values().stream()
                .filter(s -> s.state() == State.SUSPECT && s.nonce() == sight.nonce()).count() >= MOST_SUSPICIONS) {
            breach(Guarantee.SUSPECTED_AGAIN, sight.ms(), "%s held %s for suspect again and again", viewer.member(), seen.member());
        }
        if (sight.state() == State.ENDED && seen.runsAt(sight.ms())) {
            breach(Guarantee.FALSE_END, sight.ms(), "%s held %s for ended, which ran", viewer.member(), seen.member());
        }
        boolean wasOver = before != null && before.nonce() == sight.nonce() && !before.state().isLive();
        if (wasOver && sight.state().isLive() && sight.ms() > seen.toMs() + bounds.detectionMs()) {
            breach(Guarantee.RESURRECTION, sight.ms(), "%s held %s for %s again, which ended %.0f ms ago", viewer.member(), seen.member(), sight.state(),
                    sight.ms() - seen.toMs());
        }
    }

    private boolean isCalm(GroundTruth.Process process, double fromMs, double toMs) {
        return truth.isFaultFree(process.member(), fromMs, toMs);
    }

    private ViewChange heldAt(long viewer, String who, double ms) {
        TreeMap<Double, ViewChange> past = held.getOrDefault(viewer, Map.of()).get(who);
        Map.Entry<Double, ViewChange> entry = past == null ? null : past.floorEntry(ms);
        return entry == null ? null : entry.getValue();
    }

    private void late() {
        for (GroundTruth.Process over : truth.processes()) {
            double due = over.toMs() + bounds.detectionMs();
            if (due >= bounds.settledAtMs()) {
                continue; // also those that never ended
            }
            for (GroundTruth.Process viewer : truth.processes()) {
                if (viewer.fromMs() > over.toMs() - bounds.graceMs() || viewer.toMs() <= due || !isCalm(viewer, over.toMs() - bounds.graceMs(), due)
                        || viewer.member().equals(over.member())) {
                    continue;
                }
                ViewChange held = heldAt(viewer.nonce(), over.member(), due);
                if (held != null && held.nonce() == over.nonce() && held.state().isLive()) {
                    breach(Guarantee.LATE, due, "%s still held %s for %s, which ended %.0f ms before", viewer.member(), over.member(), held.state(),
                            bounds.detectionMs());
                }
            }
        }
    }

    private void agreement() {
        double at = bounds.settledAtMs();
        List<GroundTruth.Process> running = truth.processes().stream().filter(p -> p.runsAt(at)).toList();
        for (GroundTruth.Process viewer : running) {
            for (GroundTruth.Process other : running) {
                ViewChange sight = other.nonce() == viewer.nonce() ? null : heldAt(viewer.nonce(), other.member(), at);
                if (other.nonce() != viewer.nonce() && (sight == null || sight.nonce() != other.nonce() || !sight.state().isLive())) {
                    breach(Guarantee.NO_AGREEMENT, at, "%s holds %s, which runs, for %s", viewer.member(), other.member(),
                            sight == null ? "unknown" : sight.nonce() == other.nonce() ? sight.state() : "an earlier process");
                }
            }
            held.getOrDefault(viewer.nonce(), Map.of()).keySet().forEach(who -> {
                ViewChange sight = heldAt(viewer.nonce(), who, at);
                if (sight != null && sight.state().isLive() && truth.runningAt(who, at) == null) {
                    breach(Guarantee.NO_AGREEMENT, at, "%s holds %s for %s, which does not run", viewer.member(), who, sight.state());
                }
            });
        }
    }

    /** How many views were right at that time, of how many that there were. */
    public static int[] countCorrectViews(GroundTruth truth, List<ViewChange> sights, double ms) {
        ViewChecker checker = new ViewChecker(truth, new Bounds(0, 0, ms, 0));
        sights.stream().filter(s -> s.ms() <= ms).sorted(Comparator.comparingDouble(ViewChange::ms)).forEach(checker::see);
        checker.breaches.clear();
        checker.agreement();
        List<String> wrong = checker.breaches.stream().map(b -> b.what().substring(0, b.what().indexOf(' '))).distinct().toList();
        int running = (int) truth.processes().stream().filter(p -> p.runsAt(ms)).count();
        return new int[] {running - wrong.size(), running};
    }

    /** Guards caches against what nobody saw: each conviction has to have a witness, whose sight was at most so old as one is told on. */
    private void convictions(List<CacheVerdict> words) {
        List<CacheVerdict> ordered = words.stream().sorted(Comparator.comparingDouble(CacheVerdict::ms)).toList();
        Map<String, Map<Long, Double>> until = new HashMap<>(); // by cache and witness
        for (CacheVerdict word : ordered) {
            Map<Long, Double> witnesses = until.computeIfAbsent(word.cache, cache -> new HashMap<>());
            if (word.verdict != Verdict.CONVICTED) {
                witnesses.put(word.viewer, word.verdict == Verdict.FAILS ? Double.POSITIVE_INFINITY : word.ms);
                continue;
            }
            String viewer = truth.process(word.viewer).member();
            double since = word.ms - dappleseam.fleet.share.NodeObservation.MAX_AGE_MS - TOLD_MS;
            if (witnesses.entrySet().stream().noneMatch(e -> e.getValue() >= since && !truth.process(e.getKey()).member().equals(viewer))) {
                breach(Guarantee.FALSE_SIGNAL, word.ms, "%s was told that %s fails, and nobody saw so", viewer, word.cache);
            }
        }
    }

    /** By how much of the whole all shares together may be over it: a fifth for splits and news that is late, and an even share and a half for processes that are new. */
    public static double shareMargin(int members) {
        return 0.2 + 1.5 / members;
    }

    /** Guards what limits are divided by: the sum of one over it, over all that run, stays within the whole and that margin. */
    private void within(List<Divisor> counts, Guarantee promise, double margin) {
        Map<Long, Double> now = new HashMap<>();
        double worst = 1 + margin;
        Breach found = null;
        for (Divisor count : counts.stream().filter(c -> c.ms() <= bounds.settledAtMs()).sorted(Comparator.comparingDouble(Divisor::ms)).toList()) {
            now.put(count.viewer(), count.divisor());
            double sum = 0;
            for (Map.Entry<Long, Double> entry : now.entrySet()) {
                GroundTruth.Process process = truth.process(entry.getKey());
                sum += process != null && process.runsAt(count.ms()) && truth.isKnown(process, count.ms(), bounds.propagationMs()) ? 1.0 / entry.getValue() : 0;
            }
            if (sum > worst + 1e-9) {
                worst = sum;
                found = new Breach(promise, count.ms(), String.format(Locale.ROOT, "all together took %.3f of the whole", sum));
            }
        }
        if (found != null) {
            breaches.add(found);
        }
    }
}
