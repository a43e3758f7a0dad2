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
public final class FailureVoting {
    /** Fraction of caches that fail for this member above which its own link is more likely the cause. */
    private static final double OWN_LINK_FRACTION = 1.0 / 3;
    /** Minimum number of failing caches to which that fraction applies. */
    private static final int OWN_LINK_MIN_CACHES = 2;
    /**
     * Time in ms for which an answer shows that a cache works, even against later reports of a failure. Against earlier reports it has
     * no such limit.
     */
    private static final double WORKING_TTL_MS = 2000;
    /** Members that have to agree on a verdict. */
    private static final int QUORUM = 2;
    /** Maximum processes with votes at a time; observations of further ones are dropped, in the order of the announcements given. */
    private static final int MAX_PROCESSES = 256;

    /** One process of a cache, identified by its start. */
    private record NodeProcess(NodeId node, long startedAtMs) {}

    /** The votes on one process: ages in ms of the members' observations that it fails, and that it works. */
    private static final class Votes {
        final List<Long> failingAges = new ArrayList<>();
        final List<Long> workingAges = new ArrayList<>();

        /**
         * Number of members that saw it fail after {@code required} members had seen it work. Older reports are void, since those
         * members may not have tried a recovered cache again.
         */
        long currentFailing(int required) {
            long since = workingAges.size() < required ? Long.MAX_VALUE : workingAges.stream().sorted().skip(required - 1).findFirst().orElseThrow();
            return failingAges.stream().filter(age -> age < since).count();
        }

        long recentWorking() {
            return workingAges.stream().filter(age -> age <= WORKING_TTL_MS).count();
        }
    }

    private final MemberName self;
    private Map<NodeProcess, Votes> votesByProcess = Map.of();
    /** Processes that had a failing verdict at the last call of {@link #verdicts}. */
    private final Set<NodeProcess> accused = new LinkedHashSet<>();

    public FailureVoting(MemberName self) {
        this.self = self;
    }

    /** Replaces all votes. {@code isEligible}: whether the member that announced may vote. */
    public void receive(Collection<Announcement> announcements, Predicate<Announcement> isEligible) {
        Map<NodeProcess, Votes> current = new LinkedHashMap<>();
        for (Announcement announcement : announcements) {
            if (announcement.member().equals(self) || !isEligible.test(announcement)) {
                continue;
            }
            Set<NodeProcess> processesSeen = new LinkedHashSet<>(); // one vote per member and process
            for (NodeObservation observation : announcement.observations()) {
                NodeProcess process = new NodeProcess(observation.node(), observation.startedAtMs());
                if (observation.ageMs() <= NodeObservation.MAX_AGE_MS && processesSeen.add(process) && (current.containsKey(process) || current.size() < MAX_PROCESSES)) {
                    Votes votes = current.computeIfAbsent(process, p -> new Votes());
                    (observation.failing() ? votes.failingAges : votes.workingAges).add(observation.ageMs());
                }
            }
        }
        votesByProcess = current;
    }

    /**
     * The observations to announce: caches that fail for this member, and caches that work for it although others report a failure.
     * Empty if the fault may be this member's own. {@code all}: the observations of all caches.
     */
    public List<NodeObservation> localObservations(double nowMs, Collection<LocalObservation> all, boolean isHealthy) {
        long failingCount = all.stream().filter(LocalObservation::failing).count();
        if (!isHealthy || failingCount >= OWN_LINK_MIN_CACHES && failingCount > OWN_LINK_FRACTION * all.size()) {
            return List.of();
        }
        List<NodeObservation> announced = new ArrayList<>();
        for (LocalObservation local : all) {
            long startedAt = Math.round(local.startedAtMs());
            double age = nowMs - (local.failing() ? local.failedAtMs() : local.lastAnswerAtMs());
            if ((local.failing() || isRelevant(votesByProcess.get(new NodeProcess(local.node(), startedAt)), age)) && age <= NodeObservation.MAX_AGE_MS && startedAt >= 0 && startedAt <= NodeObservation.MAX_START) {
                announced.add(new NodeObservation(local.node(), startedAt, local.failing(), Math.round(Math.max(0, age))));
            }
        }
        announced.sort(Comparator.comparing(NodeObservation::failing).reversed());
        return List.copyOf(announced.subList(0, Math.min(Announcement.MAX_OBSERVATIONS, announced.size())));
    }

    /** Whether an answer of that age has to be announced: others report a failure, and it is recent or newer than one of the reports. */
    private static boolean isRelevant(Votes votes, double ageMs) {
        return votes != null && !votes.failingAges.isEmpty() && (ageMs <= WORKING_TTL_MS || votes.failingAges.stream().anyMatch(age -> age > ageMs));
    }

    /**
     * The current verdicts of the other members. A verdict that a process works again is returned once. {@code ranks}: this member's
     * rank in the order of trying, by a key of what is tried.
     */
    public List<PeerVerdict> verdicts(ToIntFunction<String> ranks) {
        List<PeerVerdict> verdicts = new ArrayList<>();
        Set<NodeProcess> current = new LinkedHashSet<>();
        votesByProcess.forEach((process, votes) -> {
            boolean isService = process.node().equals(ListRetrySchedule.LIST_SERVICE); // a single answer proves that the list service works
            long failingVotes = votes.currentFailing(isService ? 1 : QUORUM);
            if (failingVotes > 0 && (isService || failingVotes > votes.recentWorking())) {
                current.add(process);
                boolean agreed = failingVotes >= QUORUM;
                verdicts.add(new PeerVerdict(process.node(), process.startedAtMs(), agreed ? VerdictKind.FAILS : VerdictKind.HINT, (int) failingVotes, votes.workingAges.size(), agreed ? rank(process, ranks) : 0));
            }
        });
        for (NodeProcess process : accused) {
            if (!current.contains(process)) {
                Votes votes = votesByProcess.get(process);
                verdicts.add(new PeerVerdict(process.node(), process.startedAtMs(), VerdictKind.WORKS, votes == null ? 0 : votes.failingAges.size(), votes == null ? 0 : votes.workingAges.size(), rank(process, ranks)));
            }
        }
        accused.clear();
        accused.addAll(current);
        return verdicts;
    }

    private static int rank(NodeProcess process, ToIntFunction<String> ranks) {
        return Math.max(0, ranks.applyAsInt(Long.toHexString(process.node().value()) + '/' + process.startedAtMs()));
    }
}
