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
 * What this member says of caches by its own sight, and what all others' words come to. Free of I/O; times are ms of one clock, which {@link LocalObservation} goes by, too.
 * docs/fleet-design.md says why. Not for several threads.
 */
public final class FailureVoting {
    /** Share of the caches that fail by own sight from which it is more likely one's own link. */
    private static final double OWN_LINK = 1.0 / 3;
    /** Fewest caches of which that share can be told. */
    private static final int OWN_LINK_LEAST = 2;
    /** Time in ms for which an answer shows that a cache works, whatever others saw meanwhile; against what they saw before it, it goes on to show that. */
    private static final double WORKS_MS = 2000;
    /** Members that have to agree. */
    private static final int AGREE = 2;
    /** Caches spoken of at once, of any members': what is beyond is dropped, oldest first told. */
    private static final int MOST = 256;

    /** One process of a cache. */
    private record Process(NodeId node, long startedAtMs) {}

    /** How long ago, in ms, members saw it fail, and work. */
    private static final class Votes {
        final List<Long> fails = new ArrayList<>();
        final List<Long> works = new ArrayList<>();

        /** Members that saw it fail after so many had seen it work: guards a cache that is back against all who have not come to try it since. */
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
    /** Of which something was said against when last told. */
    private final Set<Process> against = new LinkedHashSet<>();

    public FailureVoting(MemberName self) {
        this.self = self;
    }

    /** {@code counts}: whether that member is one whose word counts. */
    public void receive(Collection<Announcement> bulletins, Predicate<Announcement> counts) {
        Map<Process, Votes> now = new LinkedHashMap<>();
        for (Announcement bulletin : bulletins) {
            if (bulletin.member().equals(self) || !counts.test(bulletin)) {
                continue;
            }
            Set<Process> once = new LinkedHashSet<>(); // guards against one that says a thing twice
            for (NodeObservation sight : bulletin.observations()) {
                Process process = new Process(sight.node(), sight.startedAtMs());
                if (sight.ageMs() <= NodeObservation.MAX_AGE_MS && once.add(process) && (now.containsKey(process) || now.size() < MOST)) {
                    Votes of = now.computeIfAbsent(process, p -> new Votes());
                    (sight.failing() ? of.fails : of.works).add(sight.ageMs());
                }
            }
        }
        votes = now;
    }

    /**
     * What to say: own findings that a cache fails, and that one works of which others say that it fails. Nothing where this member may be the one that is ill.
     * {@code seen}: of all caches.
     */
    public List<NodeObservation> localObservations(double nowMs, Collection<LocalObservation> seen, boolean isWell) {
        long failing = seen.stream().filter(LocalObservation::failing).count();
        if (!isWell || failing >= OWN_LINK_LEAST && failing > OWN_LINK * seen.size()) {
            return List.of();
        }
        List<NodeObservation> sights = new ArrayList<>();
        for (LocalObservation one : seen) {
            long startedAt = Math.round(one.startedAtMs());
            double age = nowMs - (one.failing() ? one.failedAtMs() : one.lastAnswerAtMs());
            if ((one.failing() || isOfUse(votes.get(new Process(one.node(), startedAt)), age)) && age <= NodeObservation.MAX_AGE_MS && startedAt >= 0 && startedAt <= NodeObservation.MAX_START) {
                sights.add(new NodeObservation(one.node(), startedAt, one.failing(), Math.round(Math.max(0, age))));
            }
        }
        sights.sort(Comparator.comparing(NodeObservation::failing).reversed());
        return List.copyOf(sights.subList(0, Math.min(Announcement.MAX_OBSERVATIONS, sights.size())));
    }

    /** Whether others have to hear of an answer so long ago: some say that the cache fails, and it is not older than all that they say. */
    private static boolean isOfUse(Votes of, double ageMs) {
        return of != null && !of.fails.isEmpty() && (ageMs <= WORKS_MS || of.fails.stream().anyMatch(age -> age > ageMs));
    }

    /** What others' words come to now; that nothing is said against a cache any more, once. {@code turns}: this member's place in the order of trying, by what is tried. */
    public List<PeerVerdict> verdicts(ToIntFunction<String> turns) {
        List<PeerVerdict> words = new ArrayList<>();
        Set<Process> now = new LinkedHashSet<>();
        votes.forEach((process, of) -> {
            boolean isService = process.node().equals(ListRetrySchedule.LIST_SERVICE); // of which one answer is proof enough
            long fails = of.failsNow(isService ? 1 : AGREE);
            if (fails > 0 && (isService || fails > of.worksNow())) {
                now.add(process);
                boolean agreed = fails >= AGREE;
                words.add(new PeerVerdict(process.node(), process.startedAtMs(), agreed ? VerdictKind.FAILS : VerdictKind.HINT, (int) fails, of.works.size(), agreed ? turn(process, turns) : 0));
            }
        });
        for (Process process : against) {
            if (!now.contains(process)) {
                Votes of = votes.get(process);
                words.add(new PeerVerdict(process.node(), process.startedAtMs(), VerdictKind.WORKS, of == null ? 0 : of.fails.size(), of == null ? 0 : of.works.size(), turn(process, turns)));
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
