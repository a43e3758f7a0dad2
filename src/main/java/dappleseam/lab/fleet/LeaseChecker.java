package dappleseam.lab.fleet;

import dappleseam.fleet.lease.Token;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks from the processes' own records, on one machine's monotonic clock, that no two processes hold a lease at the same time and that tokens
 * increase. Performs no I/O.
 */
public final class LeaseChecker {
    /** One line of a process's record: it holds the lease until {@code untilMs}, or has lost it if that is NaN. {@code endedMs}: when the process was taken down. */
    public record LeaseRecord(String process, String lease, long round, double ms, double untilMs, double endedMs) {}

    /** A period in which one process held the lease and could act on it. */
    public record HoldPeriod(String process, long round, double fromMs, double toMs) {}

    /** The result for one lease: descriptions of the breaches, and the gaps without a holder in ms, each from the end of one period to the start of the next. */
    public record Result(List<String> breaches, List<HoldPeriod> holdPeriods, List<Double> gapsMs) {}

    /** One write, and whether the store accepted it. */
    public record Write(double ms, Token token, long number, boolean accepted) {}

    /** A fault injected into a holder. {@code process}: as in {@link LeaseRecord}. */
    public record HolderFault(String kind, double ms, String process) {}

    /** Times in ms after faults of one kind: without a holder that acts, and from the fault to the next holder; and how often no takeover could be measured. */
    public record TakeoverTimes(List<Double> withoutHolderMs, List<Double> sinceFaultMs, int notTakenOver) {}

    private LeaseChecker() {}

    /** The breaches of a store that accepts a write older than the last one it accepted. */
    public static List<String> checkWrites(List<Write> writes) {
        List<String> breaches = new ArrayList<>();
        Write last = null;
        for (Write write : writes) {
            if (write.accepted()) {
                if (last != null && (write.token().isBelow(last.token()) || write.token().equals(last.token()) && write.number() <= last.number())) {
                    breaches.add(String.format(Locale.ROOT, "the store took write %d of %s after write %d of %s", write.number(), write.token().text(),
                            last.number(), last.token().text()));
                }
                last = write;
            }
        }
        return breaches;
    }

    /** The times without an acting holder by kind of fault; {@code immediateKinds}: kinds that stop the holder at once, whatever its record says. */
    public static Map<String, TakeoverTimes> takeoverTimes(List<HolderFault> faults, List<HoldPeriod> holdPeriods, Set<String> immediateKinds) {
        Map<String, TakeoverTimes> found = new TreeMap<>();
        for (HolderFault fault : faults) {
            TakeoverTimes times = found.computeIfAbsent(fault.kind(), h -> new TakeoverTimes(new ArrayList<>(), new ArrayList<>(), 0));
            HoldPeriod affected = holdPeriods.stream().filter(h -> h.process().equals(fault.process()) && h.fromMs() <= fault.ms() && h.toMs() >= fault.ms()).findFirst().orElse(null);
            HoldPeriod next = holdPeriods.stream().filter(h -> h.fromMs() > fault.ms()).findFirst().orElse(null);
            if (affected == null || next == null) {
                found.put(fault.kind(), new TakeoverTimes(times.withoutHolderMs(), times.sinceFaultMs(), times.notTakenOver() + 1));
                continue;
            }
            double heldUntil = immediateKinds.contains(fault.kind()) ? fault.ms() : affected.toMs();
            times.withoutHolderMs().add(next.fromMs() - heldUntil);
            times.sinceFaultMs().add(next.fromMs() - fault.ms());
        }
        return found;
    }

    /** Checks all records; returns the result by lease. */
    public static Map<String, Result> check(List<LeaseRecord> records) {
        Map<String, List<LeaseRecord>> byLease = new TreeMap<>();
        records.stream().sorted(Comparator.comparingDouble(LeaseRecord::ms)).forEach(l -> byLease.computeIfAbsent(l.lease(), k -> new ArrayList<>()).add(l));
        Map<String, Result> found = new TreeMap<>();
        byLease.forEach((lease, of) -> found.put(lease, check(holdPeriods(of), lease)));
        return found;
    }

    private static List<HoldPeriod> holdPeriods(List<LeaseRecord> records) {
        Map<String, HoldPeriod> periods = new LinkedHashMap<>();
        for (LeaseRecord leaseRecord : records) {
            String key = leaseRecord.process() + '/' + leaseRecord.round();
            HoldPeriod before = periods.get(key);
            if (Double.isNaN(leaseRecord.untilMs())) {
                if (before != null) {
                    periods.put(key, new HoldPeriod(before.process(), before.round(), before.fromMs(), Math.min(before.toMs(), leaseRecord.ms())));
                }
            } else {
                double to = Math.min(leaseRecord.untilMs(), leaseRecord.endedMs());
                periods.put(key, new HoldPeriod(leaseRecord.process(), leaseRecord.round(), before == null ? leaseRecord.ms() : before.fromMs(), before == null ? to : Math.max(before.toMs(), to)));
            }
        }
        return periods.values().stream().sorted(Comparator.comparingDouble(HoldPeriod::fromMs)).toList();
    }

    private static Result check(List<HoldPeriod> holdPeriods, String lease) {
        List<String> breaches = new ArrayList<>();
        List<Double> gaps = new ArrayList<>();
        HoldPeriod last = null;
        for (HoldPeriod period : holdPeriods) {
            if (last != null && period.fromMs() < last.toMs()) {
                breaches.add(String.format(Locale.ROOT, "%s: %s held it from %.1f to %.1f ms, and %s from %.1f ms", lease, last.process(), last.fromMs(),
                        last.toMs(), period.process(), period.fromMs()));
            }
            if (last != null && period.round() <= last.round()) {
                breaches.add(String.format(Locale.ROOT, "%s: round %d of %s after round %d of %s", lease, period.round(), period.process(), last.round(),
                        last.process()));
            }
            if (last != null) {
                gaps.add(Math.max(0, period.fromMs() - last.toMs()));
            }
            last = last == null || period.toMs() > last.toMs() ? period : last;
        }
        return new Result(breaches, holdPeriods, gaps);
    }
}
