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
public final class Hearsay {
    /** Time in ms for which an answer that this proxy received itself outweighs other members' verdicts. */
    private static final double OWN_ANSWER_MS = 1500;
    /** Minimum time in ms of an ejection by verdict; a random part up to {@link #EJECTION_JITTER_MS} is added. */
    private static final double ASIDE_MS = 1500;
    private static final double ASIDE_RANDOM_MS = 1000;
    /** Members that try an ejected cache in one turn. */
    private static final int AT_ONCE = 2;
    /** Length of a turn in ms. */
    private static final double TURN_MS = 5000;
    /** Maximum wait in ms for this member's turn. */
    private static final double LONGEST_MS = 30_000;
    /** Maximum fraction of the caches that may be ejected or on trial, for whatever reason, after an ejection by verdict. */
    private static final double MOST_SHARE = 0.4;

    private final RandomGenerator random;
    private final Map<NodeId, Avoided> avoided = new HashMap<>();

    /**
     * The router's state of one process of a cache. {@code ejectedUntilMs}: 0 if in service, in the future while ejected, in the past
     * while on trial.
     */
    public record Held(double startedAtMs, double asideUntilMs, double heardAtMs) {}

    /** An instruction to eject a cache until {@code ejectedUntilMs} and to put it on trial from then on. */
    public record Order(NodeId node, double startedAtMs, double asideUntilMs) {}

    /**
     * An ejection by verdict. {@code startedAtMs}: start of the ejected process; {@code orderedUntilMs}: end of the last ejection;
     * {@code turnAtMs}: when this member's turn to try comes; {@code hintOnly}: whether only one member reported the failure.
     */
    private record Avoided(double startedAtMs, double orderedMs, double turnAtMs, boolean hint) {}

    public Hearsay(RandomGenerator random) {
        this.random = random;
    }

    /** Whether this proxy ejected the cache because of its own executions: it is out of service, and not by the last verdict. */
    public boolean isOwn(NodeId node, double asideUntilMs) {
        Avoided by = avoided.get(node);
        return asideUntilMs > 0 && (by == null || by.orderedMs != asideUntilMs);
    }

    /** Decides which caches to eject or to try earlier. {@code caches}: all caches that the list has in service. */
    public List<Order> decide(double nowMs, List<Said> words, Map<NodeId, Held> caches) {
        avoided.entrySet().removeIf(e -> {
            Held held = caches.get(e.getKey());
            return held == null || held.startedAtMs != e.getValue().startedAtMs || isOwn(e.getKey(), held.asideUntilMs) || held.asideUntilMs == 0;
        });
        long aside = caches.values().stream().filter(h -> h.asideUntilMs > 0).count();
        List<Order> orders = new ArrayList<>();
        for (Said said : words) {
            Held held = caches.get(said.node());
            if (held == null || Math.abs(held.startedAtMs - said.startedAtMs()) >= 1) {
                continue; // the verdict is about another process of that cache
            }
            Avoided by = avoided.get(said.node());
            boolean unheard = held.heardAtMs < nowMs - OWN_ANSWER_MS;
            boolean mayAvoid = held.asideUntilMs == 0 && unheard && aside + 1 <= MOST_SHARE * caches.size();
            if (said.word() == Word.WORKS && by != null && held.asideUntilMs > nowMs) {
                orders.add(order(said, held, nowMs, nowMs, false));
            } else if (said.word() == Word.HINT && mayAvoid) {
                aside++;
                orders.add(order(said, held, nowMs, nowMs, true));
            } else if (said.word() == Word.FAILS && (mayAvoid || by != null && by.hint && unheard)) {
                aside += held.asideUntilMs == 0 ? 1 : 0;
                double turnAt = nowMs + ASIDE_MS + ASIDE_RANDOM_MS * random.nextDouble() + Math.min(LONGEST_MS, said.turn() / AT_ONCE * TURN_MS);
                orders.add(order(said, held, Math.min(turnAt, nowMs + ASIDE_MS + ASIDE_RANDOM_MS), turnAt, false));
            } else if (said.word() == Word.FAILS && by != null && by.orderedMs < by.turnAtMs) {
                // Not this member's turn yet; others try the cache meanwhile.
                orders.add(order(said, held, Math.min(by.turnAtMs, nowMs + ASIDE_MS + ASIDE_RANDOM_MS), by.turnAtMs, false));
            }
        }
        return orders;
    }

    private Order order(Said said, Held held, double untilMs, double turnAtMs, boolean hint) {
        avoided.put(said.node(), new Avoided(held.startedAtMs, untilMs, turnAtMs, hint));
        return new Order(said.node(), held.startedAtMs, untilMs);
    }
}
