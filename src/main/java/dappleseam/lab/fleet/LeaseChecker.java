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

/** Proves from the processes' own records, on one machine's monotonic clock, that no two hold a lease at an instant, and that tokens grow. Free of I/O. */
public final class LeaseChecker {
    /** One line of a process's record: it holds until then, or ({@code untilMs} NaN) lost it. {@code endedMs}: when that process was taken down. */
    public record LeaseRecord(String process, String lease, long round, double ms, double untilMs, double endedMs) {}

    /** A time in which one process might act. */
    public record HoldPeriod(String process, long round, double fromMs, double toMs) {}

    /** What was found: breaches in words, the times without a holder in ms, each from the end of one to the begin of the next. */
    public record Result(List<String> breaches, List<HoldPeriod> holdPeriods, List<Double> gapsMs) {}

    /** One write as the store judged it. */
    public record Write(double ms, Token token, long number, boolean accepted) {}

    /** A holder was hit: how, when, which. {@code process}: as in {@link LeaseRecord}. */
    public record HolderFault(String kind, double ms, String process) {}

    /** Times in ms after hits of one kind: without anybody who acts, and from the hit to the next who does. */
    public record TakeoverTimes(List<Double> withoutHolderMs, List<Double> sinceFaultMs, int notTakenOver) {}

    private LeaseChecker() {}

    /** Breaches by a store that takes an older write than it has. */
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

    /** By kind of hit, how long nobody acted; {@code stops}: kinds after which the holder acts no more at once, whatever its record says. */
    public static Map<String, TakeoverTimes> takeoverTimes(List<HolderFault> hits, List<HoldPeriod> holdings, Set<String> stops) {
        Map<String, TakeoverTimes> found = new TreeMap<>();
        for (HolderFault hit : hits) {
            TakeoverTimes absence = found.computeIfAbsent(hit.kind(), h -> new TakeoverTimes(new ArrayList<>(), new ArrayList<>(), 0));
            HoldPeriod held = holdings.stream().filter(h -> h.process().equals(hit.process()) && h.fromMs() <= hit.ms() && h.toMs() >= hit.ms()).findFirst().orElse(null);
            HoldPeriod next = holdings.stream().filter(h -> h.fromMs() > hit.ms()).findFirst().orElse(null);
            if (held == null || next == null) {
                found.put(hit.kind(), new TakeoverTimes(absence.withoutHolderMs(), absence.sinceFaultMs(), absence.notTakenOver() + 1));
                continue;
            }
            double over = stops.contains(hit.kind()) ? hit.ms() : held.toMs();
            absence.withoutHolderMs().add(next.fromMs() - over);
            absence.sinceFaultMs().add(next.fromMs() - hit.ms());
        }
        return found;
    }

    public static Map<String, Result> check(List<LeaseRecord> lines) {
        Map<String, List<LeaseRecord>> byLease = new TreeMap<>();
        lines.stream().sorted(Comparator.comparingDouble(LeaseRecord::ms)).forEach(l -> byLease.computeIfAbsent(l.lease(), k -> new ArrayList<>()).add(l));
        Map<String, Result> found = new TreeMap<>();
        byLease.forEach((lease, of) -> found.put(lease, check(holdings(of), lease)));
        return found;
    }

    private static List<HoldPeriod> holdings(List<LeaseRecord> lines) {
        Map<String, HoldPeriod> open = new LinkedHashMap<>();
        for (LeaseRecord line : lines) {
            String key = line.process() + '/' + line.round();
            HoldPeriod before = open.get(key);
            if (Double.isNaN(line.untilMs())) {
                if (before != null) {
                    open.put(key, new HoldPeriod(before.process(), before.round(), before.fromMs(), Math.min(before.toMs(), line.ms())));
                }
            } else {
                double to = Math.min(line.untilMs(), line.endedMs());
                open.put(key, new HoldPeriod(line.process(), line.round(), before == null ? line.ms() : before.fromMs(), before == null ? to : Math.max(before.toMs(), to)));
            }
        }
        return open.values().stream().sorted(Comparator.comparingDouble(HoldPeriod::fromMs)).toList();
    }

    private static Result check(List<HoldPeriod> holdings, String lease) {
        List<String> breaches = new ArrayList<>();
        List<Double> gaps = new ArrayList<>();
        HoldPeriod last = null;
        for (HoldPeriod holding : holdings) {
            if (last != null && holding.fromMs() < last.toMs()) {
                breaches.add(String.format(Locale.ROOT, "%s: %s held it from %.1f to %.1f ms, and %s from %.1f ms", lease, last.process(), last.fromMs(),
                        last.toMs(), holding.process(), holding.fromMs()));
            }
            if (last != null && holding.round() <= last.round()) {
                breaches.add(String.format(Locale.ROOT, "%s: round %d of %s after round %d of %s", lease, holding.round(), holding.process(), last.round(),
                        last.process()));
            }
            if (last != null) {
                gaps.add(Math.max(0, holding.fromMs() - last.toMs()));
            }
            last = last == null || holding.toMs() > last.toMs() ? holding : last;
        }
        return new Result(breaches, holdings, gaps);
    }
}
