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
    public enum Guarantee {
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
    public record Breach(Guarantee promise, double ms, String what) {}

    /** What a process divides the fleet-wide limits by from that time on: the fleet size, or the reciprocal of its share. */
    public record Divisor(double ms, long viewer, double divisor) {}

    /** {@code FAILS} and {@code CLEARED} are a process's own observations of a cache, {@code CONVICTED} is the result of its peers' verdicts. */
    public enum Verdict { FAILS, CLEARED, CONVICTED }

    /** A process's verdict on a cache from that time on. */
    public record CacheVerdict(double ms, long viewer, Verdict verdict, String cache) {}

    /** What the processes recorded. {@code fleetSizes} and {@code shareDivisors}: what they divided by, without and with shares by traffic. */
    public record Records(List<ViewChange> viewChanges, List<Divisor> fleetSizes, List<Divisor> shareDivisors, List<CacheVerdict> verdicts) {
        public Records() {
            this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    /**
     * {@code detectionMs}: from the end of a process until all know of it. {@code graceMs}: the time after a fault in which failures may still be reported.
     * {@code settledAtMs}: the time at which all views have to be correct; later records, made while the fleet is shut down, are ignored.
     * {@code propagationMs}: the fault-free time in which a new process becomes known to all; until then its use does not count towards the sum.
     */
    public record Bounds(double detectionMs, double graceMs, double settledAtMs, double propagationMs) {}

    private static final int MAX_REPORTED = 50;
    /** Suspicions of one process by one viewer within the grace time that count as repeated: one may occur by chance, but not this many. */
    private static final int MAX_SUSPICIONS = 4;

    /** Time in ms that an observation may take to be delivered. */
    private static final double DELIVERY_MS = 2000;

    private final GroundTruth groundTruth;
    private final Bounds bounds;
    private final List<Breach> breaches = new ArrayList<>();
    /** The history of each view entry, by viewer and member. */
    private final Map<Long, Map<String, TreeMap<Double, ViewChange>>> views = new HashMap<>();

    private ViewChecker(GroundTruth groundTruth, Bounds bounds) {
        this.groundTruth = groundTruth;
        this.bounds = bounds;
    }

    public static List<Breach> check(GroundTruth groundTruth, Records records, Bounds bounds) {
        ViewChecker checker = new ViewChecker(groundTruth, bounds);
        List<ViewChange> ordered = records.viewChanges.stream().filter(viewChange -> viewChange.ms() <= bounds.settledAtMs()).sorted(Comparator.comparingDouble(ViewChange::ms)).toList();
        ordered.forEach(checker::addViewChange);
        checker.checkDetection();
        checker.checkAgreement();
        checker.checkTotal(records.fleetSizes, Guarantee.MORE_THAN_WHOLE, 0);
        checker.checkTotal(records.shareDivisors, Guarantee.SHARES_OVER_WHOLE, shareMargin((int) groundTruth.processes().stream().map(GroundTruth.Process::member).distinct().count()));
        checker.checkConvictions(records.verdicts);
        return checker.breaches.stream().sorted(Comparator.comparingDouble(Breach::ms)).limit(MAX_REPORTED).toList();
    }

    private void addBreach(Guarantee guarantee, double ms, String template, Object... args) {
        breaches.add(new Breach(guarantee, ms, String.format(Locale.ROOT, template, args)));
    }

    private void addViewChange(ViewChange change) {
        TreeMap<Double, ViewChange> history = views.computeIfAbsent(change.viewer(), v -> new HashMap<>())
                .computeIfAbsent(change.member(), w -> new TreeMap<>());
        ViewChange before = history.isEmpty() ? null : history.lastEntry().getValue();
        history.put(change.ms(), change);
        GroundTruth.Process viewer = groundTruth.process(change.viewer());
        GroundTruth.Process observed = groundTruth.process(change.nonce());
        if (viewer == null || observed == null) {
            return; // a process that this run did not start
        }
        double from = change.ms() - bounds.graceMs();
        if (change.state() == State.FAILED && observed.runsAt(change.ms()) && isFaultFree(viewer, from, change.ms())
                && isFaultFree(observed, from, change.ms())) {
            addBreach(Guarantee.FALSE_FAILURE, change.ms(), "%s considered %s failed while it was running", viewer.member(), observed.member());
        }
        if (change.state() == State.SUSPECT && observed.runsAt(change.ms()) && isFaultFree(viewer, from, change.ms()) && isFaultFree(observed, from, change.ms())
                && history.subMap(from, true, change.ms(), true).values().stream()
                .filter(earlier -> earlier.state() == State.SUSPECT && earlier.nonce() == change.nonce()).count() >= MAX_SUSPICIONS) {
            addBreach(Guarantee.SUSPECTED_AGAIN, change.ms(), "%s suspected %s repeatedly while it was running", viewer.member(), observed.member());
        }
        if (change.state() == State.ENDED && observed.runsAt(change.ms())) {
            addBreach(Guarantee.FALSE_END, change.ms(), "%s considered %s ended while it was running", viewer.member(), observed.member());
        }
        boolean wasDown = before != null && before.nonce() == change.nonce() && !before.state().isLive();
        if (wasDown && change.state().isLive() && change.ms() > observed.toMs() + bounds.detectionMs()) {
            addBreach(Guarantee.RESURRECTION, change.ms(), "%s considered %s %s again, %.0f ms after it had ended", viewer.member(), observed.member(), change.state(),
                    change.ms() - observed.toMs());
        }
    }

    private boolean isFaultFree(GroundTruth.Process process, double fromMs, double toMs) {
        return groundTruth.isFaultFree(process.member(), fromMs, toMs);
    }

    private ViewChange viewAt(long viewer, String member, double ms) {
        TreeMap<Double, ViewChange> history = views.getOrDefault(viewer, Map.of()).get(member);
        Map.Entry<Double, ViewChange> entry = history == null ? null : history.floorEntry(ms);
        return entry == null ? null : entry.getValue();
    }

    private void checkDetection() {
        for (GroundTruth.Process ended : groundTruth.processes()) {
            double due = ended.toMs() + bounds.detectionMs();
            if (due >= bounds.settledAtMs()) {
                continue; // too late to be judged, or never ended
            }
            for (GroundTruth.Process viewer : groundTruth.processes()) {
                if (viewer.fromMs() > ended.toMs() - bounds.graceMs() || viewer.toMs() <= due || !isFaultFree(viewer, ended.toMs() - bounds.graceMs(), due)
                        || viewer.member().equals(ended.member())) {
                    continue;
                }
                ViewChange lastChange = viewAt(viewer.nonce(), ended.member(), due);
                if (lastChange != null && lastChange.nonce() == ended.nonce() && lastChange.state().isLive()) {
                    addBreach(Guarantee.LATE, due, "%s still considered %s %s, %.0f ms after it had ended", viewer.member(), ended.member(), lastChange.state(),
                            bounds.detectionMs());
                }
            }
        }
    }

    private void checkAgreement() {
        double at = bounds.settledAtMs();
        List<GroundTruth.Process> running = groundTruth.processes().stream().filter(p -> p.runsAt(at)).toList();
        for (GroundTruth.Process viewer : running) {
            for (GroundTruth.Process other : running) {
                ViewChange change = other.nonce() == viewer.nonce() ? null : viewAt(viewer.nonce(), other.member(), at);
                if (other.nonce() != viewer.nonce() && (change == null || change.nonce() != other.nonce() || !change.state().isLive())) {
                    addBreach(Guarantee.NO_AGREEMENT, at, "%s considers %s %s, although it is running", viewer.member(), other.member(),
                            change == null ? "unknown" : change.nonce() == other.nonce() ? change.state() : "an earlier process");
                }
            }
            views.getOrDefault(viewer.nonce(), Map.of()).keySet().forEach(member -> {
                ViewChange change = viewAt(viewer.nonce(), member, at);
                if (change != null && change.state().isLive() && groundTruth.runningAt(member, at) == null) {
                    addBreach(Guarantee.NO_AGREEMENT, at, "%s considers %s %s, although it is not running", viewer.member(), member, change.state());
                }
            });
        }
    }

    /** The number of correct views at that time, and the number of views. */
    public static int[] countCorrectViews(GroundTruth groundTruth, List<ViewChange> viewChanges, double ms) {
        ViewChecker checker = new ViewChecker(groundTruth, new Bounds(0, 0, ms, 0));
        viewChanges.stream().filter(viewChange -> viewChange.ms() <= ms).sorted(Comparator.comparingDouble(ViewChange::ms)).forEach(checker::addViewChange);
        checker.breaches.clear();
        checker.checkAgreement();
        List<String> wrongViewers = checker.breaches.stream().map(breach -> breach.what().substring(0, breach.what().indexOf(' '))).distinct().toList();
        int running = (int) groundTruth.processes().stream().filter(p -> p.runsAt(ms)).count();
        return new int[] {running - wrongViewers.size(), running};
    }

    /** Guards caches against verdicts without an observation: each conviction needs a witness on another member, whose observation was recent enough to be still announced. */
    private void checkConvictions(List<CacheVerdict> verdicts) {
        List<CacheVerdict> ordered = verdicts.stream().sorted(Comparator.comparingDouble(CacheVerdict::ms)).toList();
        Map<String, Map<Long, Double>> witnessedUntil = new HashMap<>(); // by cache and witness; infinite while the witness observes failures
        for (CacheVerdict cacheVerdict : ordered) {
            Map<Long, Double> witnesses = witnessedUntil.computeIfAbsent(cacheVerdict.cache, cache -> new HashMap<>());
            if (cacheVerdict.verdict != Verdict.CONVICTED) {
                witnesses.put(cacheVerdict.viewer, cacheVerdict.verdict == Verdict.FAILS ? Double.POSITIVE_INFINITY : cacheVerdict.ms);
                continue;
            }
            String viewer = groundTruth.process(cacheVerdict.viewer).member();
            double since = cacheVerdict.ms - dappleseam.fleet.share.NodeObservation.MAX_AGE_MS - DELIVERY_MS;
            if (witnesses.entrySet().stream().noneMatch(e -> e.getValue() >= since && !groundTruth.process(e.getKey()).member().equals(viewer))) {
                addBreach(Guarantee.FALSE_SIGNAL, cacheVerdict.ms, "%s was convinced that %s fails, which no other member observed", viewer, cacheVerdict.cache);
            }
        }
    }

    /** How far the sum of all shares may exceed one: by a fifth for partitions and delayed announcements, and by one and a half even shares for new processes. */
    public static double shareMargin(int members) {
        return 0.2 + 1.5 / members;
    }

    /** Guards the division of limits: the sum of the reciprocal divisors of all running processes stays within one plus the margin. */
    private void checkTotal(List<Divisor> divisors, Guarantee guarantee, double margin) {
        Map<Long, Double> latest = new HashMap<>();
        double worst = 1 + margin;
        Breach worstBreach = null;
        for (Divisor newDivisor : divisors.stream().filter(d -> d.ms() <= bounds.settledAtMs()).sorted(Comparator.comparingDouble(Divisor::ms)).toList()) {
            latest.put(newDivisor.viewer(), newDivisor.divisor());
            double sum = 0;
            for (Map.Entry<Long, Double> entry : latest.entrySet()) {
                GroundTruth.Process process = groundTruth.process(entry.getKey());
                sum += process != null && process.runsAt(newDivisor.ms()) && groundTruth.isPropagated(process, newDivisor.ms(), bounds.propagationMs()) ? 1.0 / entry.getValue() : 0;
            }
            if (sum > worst + 1e-9) {
                worst = sum;
                worstBreach = new Breach(guarantee, newDivisor.ms(), String.format(Locale.ROOT, "the members together used %.3f of the fleet-wide limits", sum));
            }
        }
        if (worstBreach != null) {
            breaches.add(worstBreach);
        }
    }
}
