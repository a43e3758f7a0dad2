package dappleseam.fleet.share;

import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What a proxy does by others' words: which caches it tries one execution at a time, or sets aside, and when it tries them again. Free of I/O; on the thread of the router whose
 * caches they are; times are ms of its clock. docs/fleet-design.md says why.
 */
public final class PeerEjectionPolicy {
    /** Time in ms for which an own answer weighs more than others' words; and for which a cache is set aside by them, a random part on top. */
    private static final double OWN_ANSWER_MS = 1500;
    private static final double ASIDE_MS = 1500;
    private static final double ASIDE_RANDOM_MS = 1000;
    /** Members that try in one turn, a turn's length in ms, and the longest wait for one's own. */
    private static final int AT_ONCE = 2;
    private static final double TURN_MS = 5000;
    private static final double LONGEST_MS = 30_000;
    /** Largest share of the caches that are set aside or on trial, by whatever cause, when one more is by hearsay. */
    private static final double MOST_SHARE = 0.4;

    private final RandomGenerator random;
    private final Map<NodeId, Avoided> avoided = new HashMap<>();

    /** How the router holds a process of a cache: 0 in service, a time to come while set aside, past while on trial. */
    public record NodeState(double startedAtMs, double ejectedUntilMs, double lastAnswerAtMs) {}

    /** Set aside until then, on trial from then on. */
    public record Ejection(NodeId node, double startedAtMs, double ejectedUntilMs) {}

    /** By hearsay: of which process, until when by the last order, when its own turn to try comes; {@code hint}: by one word only. */
    private record Avoided(double startedAtMs, double orderedMs, double turnAtMs, boolean hint) {}

    public PeerEjectionPolicy(RandomGenerator random) {
        this.random = random;
    }

    /** Whether that cache is avoided by own findings: not in service, and not as it was last ordered. */
    public boolean isLocallyEjected(NodeId node, double asideUntilMs) {
        Avoided by = avoided.get(node);
        return asideUntilMs > 0 && (by == null || by.orderedMs != asideUntilMs);
    }

    /** {@code caches}: all in service by the list. */
    public List<Ejection> decide(double nowMs, List<PeerVerdict> words, Map<NodeId, NodeState> caches) {
        avoided.entrySet().removeIf(e -> {
            NodeState held = caches.get(e.getKey());
            return held == null || held.startedAtMs != e.getValue().startedAtMs || isLocallyEjected(e.getKey(), held.ejectedUntilMs) || held.ejectedUntilMs == 0;
        });
        long aside = caches.values().stream().filter(h -> h.ejectedUntilMs > 0).count();
        List<Ejection> orders = new ArrayList<>();
        for (PeerVerdict said : words) {
            NodeState held = caches.get(said.node());
            if (held == null || Math.abs(held.startedAtMs - said.startedAtMs()) >= 1) {
                continue; // another process of that cache
            }
            Avoided by = avoided.get(said.node());
            boolean unheard = held.lastAnswerAtMs < nowMs - OWN_ANSWER_MS;
            boolean mayAvoid = held.ejectedUntilMs == 0 && unheard && aside + 1 <= MOST_SHARE * caches.size();
            if (said.kind() == VerdictKind.WORKS && by != null && held.ejectedUntilMs > nowMs) {
                orders.add(order(said, held, nowMs, nowMs, false));
            } else if (said.kind() == VerdictKind.HINT && mayAvoid) {
                aside++;
                orders.add(order(said, held, nowMs, nowMs, true));
            } else if (said.kind() == VerdictKind.FAILS && (mayAvoid || by != null && by.hint && unheard)) {
                aside += held.ejectedUntilMs == 0 ? 1 : 0;
                double turnAt = nowMs + ASIDE_MS + ASIDE_RANDOM_MS * random.nextDouble() + Math.min(LONGEST_MS, said.retryRank() / AT_ONCE * TURN_MS);
                orders.add(order(said, held, Math.min(turnAt, nowMs + ASIDE_MS + ASIDE_RANDOM_MS), turnAt, false));
            } else if (said.kind() == VerdictKind.FAILS && by != null && by.orderedMs < by.turnAtMs) {
                // Not its turn yet: others try it meanwhile.
                orders.add(order(said, held, Math.min(by.turnAtMs, nowMs + ASIDE_MS + ASIDE_RANDOM_MS), by.turnAtMs, false));
            }
        }
        return orders;
    }

    private Ejection order(PeerVerdict said, NodeState held, double untilMs, double turnAtMs, boolean hint) {
        avoided.put(said.node(), new Avoided(held.startedAtMs, untilMs, turnAtMs, hint));
        return new Ejection(said.node(), held.startedAtMs, untilMs);
    }
}
