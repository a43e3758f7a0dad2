package dappleseam.fleet.share;

import dappleseam.fleet.membership.MemberName;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Selects the observations of caches that this member announces, and combines those of all other members into verdicts. Performs no
 * I/O; times are ms of one clock, that of {@link LocalObservation}. docs/fleet-design.md explains the rules. Not thread-safe.
 */
public final class Signals {
    /** Fraction of caches that fail for this member above which its own link is more likely the cause. */
    private static final double OWN_LINK = 1.0 / 3;
    /** Minimum number of failing caches to which that fraction applies. */
    private static final int OWN_LINK_LEAST = 2;
    /**
     * Time in ms for which an answer shows that a cache works, even against later reports of a failure. Against earlier reports it has
     * no such limit.
     */
    private static final double WORKS_MS = 2000;
    /** Members that have to agree on a verdict. */
    private static final int AGREE = 2;
    /** Maximum processes with votes at a time; observations of further ones are dropped, in the order of the announcements given. */
    private static final int MOST = 256;

    /** One process of a cache, identified by its start. */
    private record Process(NodeId node, long startedAtMs) {}

    /** The votes on one process: ages in ms of the members' observations that it fails, and that it works. */
    private static final class Votes {
        final List<Long> fails = new ArrayList<>();
        final List<Long> works = new ArrayList<>();

        /**
         * Number of members that saw it fail after {@code required} members had seen it work. Older reports are void, since those
         * members may not have tried a recovered cache again.
         */
        long failsNow(int proof) {
            long since = works.size() < proof ? Long.MAX_VALUE : works.stream().sorted().skip(proof - 1).findFirst().orElseThrow();
            return fails.stream().filter(age -> age < since).count();
        }

        long worksNow() {
            return works.stream().filter(age -> age <= WORKS_MS).count();
        }
    }

    private final MemberName self;
    private Map<Process, Votes> votes = Map.of();
    /** Processes that had a failing verdict at the last call of {@link #verdicts}. */
    private final Set<Process> against = new LinkedHashSet<>();

    public Signals(MemberName self) {
        this.self = self;
    }

    /** Replaces all votes. {@code isEligible}: whether the member that announced may vote. */
    public void hear(Collection<Bulletin> bulletins, Predicate<Bulletin> counts) {
        Map<Process, Votes> now = new LinkedHashMap<>();
        for (Bulletin bulletin : bulletins) {
            if (bulletin.who().equals(self) || !counts.test(bulletin)) {
                continue;
            }
            Set<Process> once = new LinkedHashSet<>(); // one vote per member and process
            for (Sight sight : bulletin.sights()) {
                Process process = new Process(sight.node(), sight.startedAtMs());
                if (sight.ageMs() <= Sight.OLDEST_MS && once.add(process) && (now.containsKey(process) || now.size() < MOST)) {
                    Votes of = now.computeIfAbsent(process, p -> new Votes());
                    (sight.fails() ? of.fails : of.works).add(sight.ageMs());
                }
            }
        }
        votes = now;
    }

    /**
     * The observations to announce: caches that fail for this member, and caches that work for it although others report a failure.
     * Empty if the fault may be this member's own. {@code all}: the observations of all caches.
     */
    public List<Sight> own(double nowMs, Collection<Seen> seen, boolean isWell) {
        long failing = seen.stream().filter(Seen::fails).count();
        if (!isWell || failing >= OWN_LINK_LEAST && failing > OWN_LINK * seen.size()) {
            return List.of();
        }
        List<Sight> sights = new ArrayList<>();
        for (Seen one : seen) {
            long startedAt = Math.round(one.startedAtMs());
            double age = nowMs - (one.fails() ? one.failedAtMs() : one.heardAtMs());
            if ((one.fails() || isOfUse(votes.get(new Process(one.node(), startedAt)), age)) && age <= Sight.OLDEST_MS && startedAt >= 0 && startedAt <= Sight.LATEST) {
                sights.add(new Sight(one.node(), startedAt, one.fails(), Math.round(Math.max(0, age))));
            }
        }
        sights.sort(Comparator.comparing(Sight::fails).reversed());
        return List.copyOf(sights.subList(0, Math.min(Bulletin.MOST_SIGHTS, sights.size())));
    }

    /** Whether an answer of that age has to be announced: others report a failure, and it is recent or newer than one of the reports. */
    private static boolean isOfUse(Votes of, double ageMs) {
        return of != null && !of.fails.isEmpty() && (ageMs <= WORKS_MS || of.fails.stream().anyMatch(age -> age > ageMs));
    }

    /**
     * The current verdicts of the other members. A verdict that a process works again is returned once. {@code ranks}: this member's
     * rank in the order of trying, by a key of what is tried.
     */
    public List<Said> words(ToIntFunction<String> turns) {
        List<Said> words = new ArrayList<>();
        Set<Process> now = new LinkedHashSet<>();
        votes.forEach((process, of) -> {
            boolean isService = process.node().equals(ListTurns.SERVICE); // a single answer proves that the list service works
            long fails = of.failsNow(isService ? 1 : AGREE);
            if (fails > 0 && (isService || fails > of.worksNow())) {
                now.add(process);
                boolean agreed = fails >= AGREE;
                words.add(new Said(process.node(), process.startedAtMs(), agreed ? Word.FAILS : Word.HINT, (int) fails, of.works.size(), agreed ? turn(process, turns) : 0));
            }
        });
        for (Process process : against) {
            if (!now.contains(process)) {
                Votes of = votes.get(process);
                words.add(new Said(process.node(), process.startedAtMs(), Word.WORKS, of == null ? 0 : of.fails.size(), of == null ? 0 : of.works.size(), turn(process, turns)));
            }
        }
        against.clear();
        against.addAll(now);
        return words;
    }

    private static int turn(Process process, ToIntFunction<String> turns) {
        return Math.max(0, turns.applyAsInt(Long.toHexString(process.node().value()) + '/' + process.startedAtMs()));
    }
}
