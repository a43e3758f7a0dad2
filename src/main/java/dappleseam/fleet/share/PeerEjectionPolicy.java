package dappleseam.fleet.share;

import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Ejects caches because of other members' verdicts: decides which caches are put on trial, one execution at a time, or ejected, and
 * when they are tried again. Performs no I/O; runs on the thread of the router that owns the caches; times are ms of its clock.
 * docs/fleet-design.md explains the rules.
 */
public final class PeerEjectionPolicy {
    /** Time in ms for which an answer that this proxy received itself outweighs other members' verdicts. */
    private static final double OWN_ANSWER_MS = 1500;
    /** Minimum time in ms of an ejection by verdict; a random part up to {@link #EJECTION_JITTER_MS} is added. */
    private static final double EJECTION_MS = 1500;
    private static final double EJECTION_JITTER_MS = 1000;
    /** Members that try an ejected cache in one turn. */
    private static final int CONCURRENT_TRIERS = 2;
    /** Length of a turn in ms. */
    private static final double TURN_MS = 5000;
    /** Maximum wait in ms for this member's turn. */
    private static final double MAX_WAIT_MS = 30_000;
    /** Maximum fraction of the caches that may be ejected or on trial, for whatever reason, after an ejection by verdict. */
    private static final double MAX_EJECTED_FRACTION = 0.4;

    private final RandomGenerator random;
    private final Map<NodeId, PeerEjected> peerEjected = new HashMap<>();

    /**
     * The router's state of one process of a cache. {@code ejectedUntilMs}: 0 if in service, in the future while ejected, in the past
     * while on trial.
     */
    public record NodeState(double startedAtMs, double ejectedUntilMs, double lastAnswerAtMs) {}

    /** An instruction to eject a cache until {@code ejectedUntilMs} and to put it on trial from then on. */
    public record Ejection(NodeId node, double startedAtMs, double ejectedUntilMs) {}

    /**
     * An ejection by verdict. {@code startedAtMs}: start of the ejected process; {@code orderedUntilMs}: end of the last ejection;
     * {@code turnAtMs}: when this member's turn to try comes; {@code hintOnly}: whether only one member reported the failure.
     */
    private record PeerEjected(double startedAtMs, double orderedUntilMs, double turnAtMs, boolean hintOnly) {}

    public PeerEjectionPolicy(RandomGenerator random) {
        this.random = random;
    }

    /** Whether this proxy ejected the cache because of its own executions: it is out of service, and not by the last verdict. */
    public boolean isLocallyEjected(NodeId node, double ejectedUntilMs) {
        PeerEjected previous = peerEjected.get(node);
        return ejectedUntilMs > 0 && (previous == null || previous.orderedUntilMs != ejectedUntilMs);
    }

    /** Decides which caches to eject or to try earlier. {@code caches}: all caches that the list has in service. */
    public List<Ejection> decide(double nowMs, List<PeerVerdict> verdicts, Map<NodeId, NodeState> caches) {
        peerEjected.entrySet().removeIf(e -> {
            NodeState state = caches.get(e.getKey());
            return state == null || state.startedAtMs != e.getValue().startedAtMs || isLocallyEjected(e.getKey(), state.ejectedUntilMs) || state.ejectedUntilMs == 0;
        });
        long ejectedCount = caches.values().stream().filter(h -> h.ejectedUntilMs > 0).count();
        List<Ejection> ejections = new ArrayList<>();
        for (PeerVerdict verdict : verdicts) {
            NodeState state = caches.get(verdict.node());
            if (state == null || Math.abs(state.startedAtMs - verdict.startedAtMs()) >= 1) {
                continue; // the verdict is about another process of that cache
            }
            PeerEjected previous = peerEjected.get(verdict.node());
            boolean noRecentAnswer = state.lastAnswerAtMs < nowMs - OWN_ANSWER_MS;
            boolean mayEject = state.ejectedUntilMs == 0 && noRecentAnswer && ejectedCount + 1 <= MAX_EJECTED_FRACTION * caches.size();
            if (verdict.kind() == VerdictKind.WORKS && previous != null && state.ejectedUntilMs > nowMs) {
                ejections.add(eject(verdict, state, nowMs, nowMs, false));
            } else if (verdict.kind() == VerdictKind.HINT && mayEject) {
                ejectedCount++;
                ejections.add(eject(verdict, state, nowMs, nowMs, true));
            } else if (verdict.kind() == VerdictKind.FAILS && (mayEject || previous != null && previous.hintOnly && noRecentAnswer)) {
                ejectedCount += state.ejectedUntilMs == 0 ? 1 : 0;
                double turnAt = nowMs + EJECTION_MS + EJECTION_JITTER_MS * random.nextDouble() + Math.min(MAX_WAIT_MS, verdict.retryRank() / CONCURRENT_TRIERS * TURN_MS);
                ejections.add(eject(verdict, state, Math.min(turnAt, nowMs + EJECTION_MS + EJECTION_JITTER_MS), turnAt, false));
            } else if (verdict.kind() == VerdictKind.FAILS && previous != null && previous.orderedUntilMs < previous.turnAtMs) {
                // Not this member's turn yet; others try the cache meanwhile.
                ejections.add(eject(verdict, state, Math.min(previous.turnAtMs, nowMs + EJECTION_MS + EJECTION_JITTER_MS), previous.turnAtMs, false));
            }
        }
        return ejections;
    }

    private Ejection eject(PeerVerdict verdict, NodeState state, double untilMs, double turnAtMs, boolean hintOnly) {
        peerEjected.put(verdict.node(), new PeerEjected(state.startedAtMs, untilMs, turnAtMs, hintOnly));
        return new Ejection(verdict.node(), state.startedAtMs, untilMs);
    }
}
