package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MemberEntry.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Checks the guarantees of the membership by comparing the proxies' own records of their views with the ground truth. Performs no I/O. */
public final class ViewChecker {
    /** The guarantees, named by the way in which they are broken. */
    public enum Promise {
        /** An ended process is still considered live by one that had the time to detect the end. */
        LATE,
        /** A running process was considered failed although no fault affected it or the viewer. */
        FALSE_FAILURE,
        /** A running process that no fault affected was suspected repeatedly: indirect probes did not work. */
        SUSPECTED_AGAIN,
        /** A running process was considered ended, which requires proof. */
        FALSE_END,
        /** A process that had ended and was considered failed became live again through outdated gossip. */
        RESURRECTION,
        /** A view is wrong at the end, long after all faults. */
        NO_AGREEMENT,
        /** The members divided the fleet-wide limits by such small fleet sizes that together they exceeded the limits. */
        MORE_THAN_WHOLE,
        /** The members' traffic shares of the fleet-wide limits added up to more than one plus the margin. */
        SHARES_OVER_WHOLE,
        /** Peers' verdicts convinced a process that a cache fails, although no other process's record shows that it observed that. */
        FALSE_SIGNAL
    }

    /** One broken guarantee, with a description of what happened. */
    public record Breach(Promise promise, double ms, String what) {}

    /** What a process divides the fleet-wide limits by from that time on: the fleet size, or the reciprocal of its share. */
    public record Counted(double ms, long viewer, double counted) {}

    /** {@code FAILS} and {@code CLEARED} are a process's own observations of a cache, {@code CONVICTED} is the result of its peers' verdicts. */
    public enum Verdict { FAILS, CLEARED, CONVICTED }

    /** A process's verdict on a cache from that time on. */
    public record Word(double ms, long viewer, Verdict verdict, String cache) {}

    /** What the processes recorded. {@code fleetSizes} and {@code shareDivisors}: what they divided by, without and with shares by traffic. */
    public record Records(List<Sight> sights, List<Counted> counts, List<Counted> shares, List<Word> words) {
        public Records() {
            this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    /**
     * {@code detectionMs}: from the end of a process until all know of it. {@code graceMs}: the time after a fault in which failures may still be reported.
     * {@code settledAtMs}: the time at which all views have to be correct; later records, made while the fleet is shut down, are ignored.
     * {@code propagationMs}: the fault-free time in which a new process becomes known to all; until then its use does not count towards the sum.
     */
    public record Bounds(double lateMs, double graceMs, double settledMs, double rumourMs) {}

    private static final int MOST_TOLD = 50;
    /** Suspicions of one process by one viewer within the grace time that count as repeated: one may occur by chance, but not this many. */
    private static final int MOST_SUSPICIONS = 4;

    /** Time in ms that an observation may take to be delivered. */
    private static final double TOLD_MS = 2000;

    private final Truth truth;
    private final Bounds bounds;
    private final List<Breach> breaches = new ArrayList<>();
    /** The history of each view entry, by viewer and member. */
    private final Map<Long, Map<String, TreeMap<Double, Sight>>> held = new HashMap<>();

    private ViewChecker(Truth truth, Bounds bounds) {
        this.truth = truth;
        this.bounds = bounds;
    }

    public static List<Breach> check(Truth truth, Records records, Bounds bounds) {
        ViewChecker checker = new ViewChecker(truth, bounds);
        List<Sight> ordered = records.sights.stream().filter(s -> s.ms() <= bounds.settledMs()).sorted(Comparator.comparingDouble(Sight::ms)).toList();
        ordered.forEach(checker::see);
        checker.late();
        checker.agreement();
        checker.within(records.counts, Promise.MORE_THAN_WHOLE, 0);
        checker.within(records.shares, Promise.SHARES_OVER_WHOLE, margin((int) truth.processes().stream().map(Truth.Process::member).distinct().count()));
        checker.convictions(records.words);
        return checker.breaches.stream().sorted(Comparator.comparingDouble(Breach::ms)).limit(MOST_TOLD).toList();
    }

    private void breach(Promise promise, double ms, String what, Object... of) {
        breaches.add(new Breach(promise, ms, String.format(Locale.ROOT, what, of)));
    }

    private void see(Sight sight) {
        TreeMap<Double, Sight> past = held.computeIfAbsent(sight.viewer(), v -> new HashMap<>())
                .computeIfAbsent(sight.who(), w -> new TreeMap<>());
        Sight before = past.isEmpty() ? null : past.lastEntry().getValue();
        past.put(sight.ms(), sight);
        Truth.Process viewer = truth.process(sight.viewer());
        Truth.Process seen = truth.process(sight.nonce());
        if (viewer == null || seen == null) {
            return; // a process that this run did not start
        }
        double from = sight.ms() - bounds.graceMs();
        if (sight.state() == State.FAILED && seen.runsAt(sight.ms()) && isCalm(viewer, from, sight.ms())
                && isCalm(seen, from, sight.ms())) {
            breach(Promise.FALSE_FAILURE, sight.ms(), "%s considered %s failed while it was running", viewer.member(), seen.member());
        }
        if (sight.state() == State.SUSPECT && seen.runsAt(sight.ms()) && isCalm(viewer, from, sight.ms()) && isCalm(seen, from, sight.ms())
                && past.subMap(from, true, sight.ms(), true).values().stream()
                .filter(s -> s.state() == State.SUSPECT && s.nonce() == sight.nonce()).count() >= MOST_SUSPICIONS) {
            breach(Promise.SUSPECTED_AGAIN, sight.ms(), "%s suspected %s repeatedly while it was running", viewer.member(), seen.member());
        }
        if (sight.state() == State.ENDED && seen.runsAt(sight.ms())) {
            breach(Promise.FALSE_END, sight.ms(), "%s considered %s ended while it was running", viewer.member(), seen.member());
        }
        boolean wasOver = before != null && before.nonce() == sight.nonce() && !before.state().isLive();
        if (wasOver && sight.state().isLive() && sight.ms() > seen.toMs() + bounds.lateMs()) {
            breach(Promise.RESURRECTION, sight.ms(), "%s considered %s %s again, %.0f ms after it had ended", viewer.member(), seen.member(), sight.state(),
                    sight.ms() - seen.toMs());
        }
    }

    private boolean isCalm(Truth.Process process, double fromMs, double toMs) {
        return truth.isCalm(process.member(), fromMs, toMs);
    }

    private Sight heldAt(long viewer, String who, double ms) {
        TreeMap<Double, Sight> past = held.getOrDefault(viewer, Map.of()).get(who);
        Map.Entry<Double, Sight> entry = past == null ? null : past.floorEntry(ms);
        return entry == null ? null : entry.getValue();
    }

    private void late() {
        for (Truth.Process over : truth.processes()) {
            double due = over.toMs() + bounds.lateMs();
            if (due >= bounds.settledMs()) {
                continue; // too late to be judged, or never ended
            }
            for (Truth.Process viewer : truth.processes()) {
                if (viewer.fromMs() > over.toMs() - bounds.graceMs() || viewer.toMs() <= due || !isCalm(viewer, over.toMs() - bounds.graceMs(), due)
                        || viewer.member().equals(over.member())) {
                    continue;
                }
                Sight held = heldAt(viewer.nonce(), over.member(), due);
                if (held != null && held.nonce() == over.nonce() && held.state().isLive()) {
                    breach(Promise.LATE, due, "%s still considered %s %s, %.0f ms after it had ended", viewer.member(), over.member(), held.state(),
                            bounds.lateMs());
                }
            }
        }
    }

    private void agreement() {
        double at = bounds.settledMs();
        List<Truth.Process> running = truth.processes().stream().filter(p -> p.runsAt(at)).toList();
        for (Truth.Process viewer : running) {
            for (Truth.Process other : running) {
                Sight sight = other.nonce() == viewer.nonce() ? null : heldAt(viewer.nonce(), other.member(), at);
                if (other.nonce() != viewer.nonce() && (sight == null || sight.nonce() != other.nonce() || !sight.state().isLive())) {
                    breach(Promise.NO_AGREEMENT, at, "%s considers %s %s, although it is running", viewer.member(), other.member(),
                            sight == null ? "unknown" : sight.nonce() == other.nonce() ? sight.state() : "an earlier process");
                }
            }
            held.getOrDefault(viewer.nonce(), Map.of()).keySet().forEach(who -> {
                Sight sight = heldAt(viewer.nonce(), who, at);
                if (sight != null && sight.state().isLive() && truth.runningAt(who, at) == null) {
                    breach(Promise.NO_AGREEMENT, at, "%s considers %s %s, although it is not running", viewer.member(), who, sight.state());
                }
            });
        }
    }

    /** The number of correct views at that time, and the number of views. */
    public static int[] right(Truth truth, List<Sight> sights, double ms) {
        ViewChecker checker = new ViewChecker(truth, new Bounds(0, 0, ms, 0));
        sights.stream().filter(s -> s.ms() <= ms).sorted(Comparator.comparingDouble(Sight::ms)).forEach(checker::see);
        checker.breaches.clear();
        checker.agreement();
        List<String> wrong = checker.breaches.stream().map(b -> b.what().substring(0, b.what().indexOf(' '))).distinct().toList();
        int running = (int) truth.processes().stream().filter(p -> p.runsAt(ms)).count();
        return new int[] {running - wrong.size(), running};
    }

    /** Guards caches against verdicts without an observation: each conviction needs a witness on another member, whose observation was recent enough to be still announced. */
    private void convictions(List<Word> words) {
        List<Word> ordered = words.stream().sorted(Comparator.comparingDouble(Word::ms)).toList();
        Map<String, Map<Long, Double>> until = new HashMap<>(); // by cache and witness; infinite while the witness observes failures
        for (Word word : ordered) {
            Map<Long, Double> witnesses = until.computeIfAbsent(word.cache, cache -> new HashMap<>());
            if (word.verdict != Verdict.CONVICTED) {
                witnesses.put(word.viewer, word.verdict == Verdict.FAILS ? Double.POSITIVE_INFINITY : word.ms);
                continue;
            }
            String viewer = truth.process(word.viewer).member();
            double since = word.ms - dappleseam.fleet.share.NodeObservation.MAX_AGE_MS - TOLD_MS;
            if (witnesses.entrySet().stream().noneMatch(e -> e.getValue() >= since && !truth.process(e.getKey()).member().equals(viewer))) {
                breach(Promise.FALSE_SIGNAL, word.ms, "%s was convinced that %s fails, which no other member observed", viewer, word.cache);
            }
        }
    }

    /** How far the sum of all shares may exceed one: by a fifth for partitions and delayed announcements, and by one and a half even shares for new processes. */
    public static double margin(int members) {
        return 0.2 + 1.5 / members;
    }

    /** Guards the division of limits: the sum of the reciprocal divisors of all running processes stays within one plus the margin. */
    private void within(List<Counted> counts, Promise promise, double margin) {
        Map<Long, Double> now = new HashMap<>();
        double worst = 1 + margin;
        Breach found = null;
        for (Counted count : counts.stream().filter(c -> c.ms() <= bounds.settledMs()).sorted(Comparator.comparingDouble(Counted::ms)).toList()) {
            now.put(count.viewer(), count.counted());
            double sum = 0;
            for (Map.Entry<Long, Double> entry : now.entrySet()) {
                Truth.Process process = truth.process(entry.getKey());
                sum += process != null && process.runsAt(count.ms()) && truth.isKnown(process, count.ms(), bounds.rumourMs()) ? 1.0 / entry.getValue() : 0;
            }
            if (sum > worst + 1e-9) {
                worst = sum;
                found = new Breach(promise, count.ms(), String.format(Locale.ROOT, "the members together used %.3f of the fleet-wide limits", sum));
            }
        }
        if (found != null) {
            breaches.add(found);
        }
    }
}
