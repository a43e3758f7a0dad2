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
    public record Line(String process, String lease, long round, double ms, double untilMs, double endedMs) {}

    /** A period in which one process held the lease and could act on it. */
    public record Holding(String process, long round, double fromMs, double toMs) {}

    /** The result for one lease: descriptions of the breaches, and the gaps without a holder in ms, each from the end of one period to the start of the next. */
    public record Found(List<String> breaches, List<Holding> holdings, List<Double> gapsMs) {}

    /** One write, and whether the store accepted it. */
    public record Write(double ms, Token token, long number, boolean taken) {}

    /** A fault injected into a holder. {@code process}: as in {@link LeaseRecord}. */
    public record Hit(String how, double ms, String process) {}

    /** Times in ms after faults of one kind: without a holder that acts, and from the fault to the next holder; and how often no takeover could be measured. */
    public record Absence(List<Double> withoutMs, List<Double> sinceHitMs, int withoutNext) {}

    private LeaseChecker() {}

    /** The breaches of a store that accepts a write older than the last one it accepted. */
    public static List<String> writes(List<Write> writes) {
        List<String> breaches = new ArrayList<>();
        Write last = null;
        for (Write write : writes) {
            if (write.taken()) {
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
    public static Map<String, Absence> absences(List<Hit> hits, List<Holding> holdings, Set<String> stops) {
        Map<String, Absence> found = new TreeMap<>();
        for (Hit hit : hits) {
            Absence absence = found.computeIfAbsent(hit.how(), h -> new Absence(new ArrayList<>(), new ArrayList<>(), 0));
            Holding held = holdings.stream().filter(h -> h.process().equals(hit.process()) && h.fromMs() <= hit.ms() && h.toMs() >= hit.ms()).findFirst().orElse(null);
            Holding next = holdings.stream().filter(h -> h.fromMs() > hit.ms()).findFirst().orElse(null);
            if (held == null || next == null) {
                found.put(hit.how(), new Absence(absence.withoutMs(), absence.sinceHitMs(), absence.withoutNext() + 1));
                continue;
            }
            double over = stops.contains(hit.how()) ? hit.ms() : held.toMs();
            absence.withoutMs().add(next.fromMs() - over);
            absence.sinceHitMs().add(next.fromMs() - hit.ms());
        }
        return found;
    }

    /** Checks all records; returns the result by lease. */
    public static Map<String, Found> check(List<Line> lines) {
        Map<String, List<Line>> byLease = new TreeMap<>();
        lines.stream().sorted(Comparator.comparingDouble(Line::ms)).forEach(l -> byLease.computeIfAbsent(l.lease(), k -> new ArrayList<>()).add(l));
        Map<String, Found> found = new TreeMap<>();
        byLease.forEach((lease, of) -> found.put(lease, check(holdings(of), lease)));
        return found;
    }

    private static List<Holding> holdings(List<Line> lines) {
        Map<String, Holding> open = new LinkedHashMap<>();
        for (Line line : lines) {
            String key = line.process() + '/' + line.round();
            Holding before = open.get(key);
            if (Double.isNaN(line.untilMs())) {
                if (before != null) {
                    open.put(key, new Holding(before.process(), before.round(), before.fromMs(), Math.min(before.toMs(), line.ms())));
                }
            } else {
                double to = Math.min(line.untilMs(), line.endedMs());
                open.put(key, new Holding(line.process(), line.round(), before == null ? line.ms() : before.fromMs(), before == null ? to : Math.max(before.toMs(), to)));
            }
        }
        return open.values().stream().sorted(Comparator.comparingDouble(Holding::fromMs)).toList();
    }

    private static Found check(List<Holding> holdings, String lease) {
        List<String> breaches = new ArrayList<>();
        List<Double> gaps = new ArrayList<>();
        Holding last = null;
        for (Holding holding : holdings) {
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
        return new Found(breaches, holdings, gaps);
    }
}
