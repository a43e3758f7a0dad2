package dappleseam.proxy;

import dappleseam.fleet.peers.Sightings;
import dappleseam.fleet.share.Hearsay;
import dappleseam.fleet.share.Hearsay.Held;
import dappleseam.fleet.share.Hearsay.Order;
import dappleseam.fleet.share.ListTurns;
import dappleseam.fleet.share.Portion;
import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Seen;
import dappleseam.router.Learnt;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Connects the I/O thread with the fleet's thread: publishes what this proxy observes of its caches and applies the verdicts of
 * other members.
 */
final class FleetLookout implements Lookout, Sightings {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1000;
    /** Time constant in ms for smoothing the query rate. */
    private static final double SMOOTH_MS = 5000;
    /** Age in ms from which a new process announces its query rate. */
    private static final double RATE_FROM_MS = 1000;
    /**
     * Number of answers over which the typical latency is smoothed, and the multiple of it, but at least the minimum in ms, after which an
     * execution without an answer counts against its cache.
     */
    private static final double USUAL_OF = 64;
    private static final double SILENT_TIMES = 8;
    private static final double SILENT_LEAST_MS = 100;

    /** Change of the position that is passed on: a fifth of one proxy's part among a hundred. */
    private static final double PLACE_NEWS = 0.002;

    private final Consumer<List<Learnt>> orders;
    private final Whole whole;
    private final Executor loop;
    private final DoubleSupplier nowMs;
    private final Hearsay hearsay;
    /** When each cache last answered. This and the following fields are used on the I/O thread only. */
    private final Map<NodeId, Double> heardAt = new HashMap<>();
    /** Caches ejected by this proxy's own findings: until when, and since when. */
    private final Map<NodeId, double[]> failing = new HashMap<>();
    /** Caches that left an execution unanswered and have not answered since, with the time of that. */
    private final Map<NodeId, Double> struckAt = new HashMap<>();
    private double usualMs;
    private Map<NodeId, Learnt> learnt = Map.of();
    private Map<NodeId, Double> startedAt = Map.of();
    private double lookedAt = Double.NaN;
    private long taken;
    private double rate;
    private double bornAt = Double.NaN;
    private final Portion portion;
    /** This and the next two fields are read or written by other threads, too. */
    private volatile Collection<Seen> seen = List.of();
    private volatile double ratePerS = Double.NaN;
    private volatile Told told = new Told(Double.NaN, Double.NaN, Double.NEGATIVE_INFINITY);
    private double placeTold = Double.NEGATIVE_INFINITY;
    private final ListTurns turns = new ListTurns();
    private Seen service = new Seen(ListTurns.SERVICE, 0, false, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY);

    /** What the fleet assigned last, and when by the fleet's clock. */
    private record Told(double share, double place, double atMs) {}

    /** {@code applyEjections} passes ejections to the router on the I/O thread, which {@code loopExecutor} runs tasks on; {@code nowMs} is its clock. */
    FleetLookout(long seed, Consumer<List<Learnt>> orders, Whole whole, Executor loop, DoubleSupplier nowMs) {
        hearsay = new Hearsay(new SplittableRandom(seed));
        this.orders = orders;
        this.whole = whole;
        portion = new Portion(1 / whole.proxies());
        this.loop = loop;
        this.nowMs = nowMs;
    }

    @Override
    public void taken() {
        taken++;
    }

    @Override
    public void heard(NodeId node, double nowMs, double tookMs) {
        heardAt.put(node, nowMs);
        struckAt.remove(node);
        usualMs += (tookMs - usualMs) / USUAL_OF;
    }

    @Override
    public void unanswered(NodeId node, double sentAtMs, double nowMs, double tookMs) {
        boolean silent = heardAt.getOrDefault(node, Double.NEGATIVE_INFINITY) < sentAtMs;
        if (silent && tookMs > Math.max(SILENT_LEAST_MS, SILENT_TIMES * usualMs)) {
            struckAt.put(node, nowMs);
        }
    }

    @Override
    public void look(double nowMs, List<Learnt> known, Map<NodeId, Double> caches) {
        Map<NodeId, Learnt> now = new HashMap<>();
        known.forEach(one -> now.put(one.node(), one));
        learnt = now;
        caches.forEach((node, started) -> {
            if (!started.equals(startedAt.get(node))) { // findings on the previous process do not apply to a restarted one
                struckAt.remove(node);
                heardAt.remove(node);
                failing.remove(node);
            }
        });
        startedAt = caches;
        heardAt.keySet().retainAll(caches.keySet());
        failing.keySet().retainAll(caches.keySet());
        struckAt.keySet().retainAll(caches.keySet());
        if (!Double.isNaN(lookedAt) && nowMs > lookedAt) {
            double share = Math.min(1, (nowMs - lookedAt) / Math.min(SMOOTH_MS, nowMs - bornAt)); // a new process averages over its age
            rate += share * (taken * MS_PER_S / (nowMs - lookedAt) - rate);
            taken = 0;
        }
        bornAt = Double.isNaN(bornAt) ? nowMs : bornAt;
        lookedAt = nowMs;
        ratePerS = nowMs >= bornAt + RATE_FROM_MS ? rate : Double.NaN;
        Told last = told;
        boolean isNews = portion.look(nowMs, last.share, System.nanoTime() / NANOS_PER_MS - last.atMs, 1 / whole.proxies());
        if (isNews || Math.abs(last.place - placeTold) > PLACE_NEWS) {
            placeTold = Double.isNaN(last.place) ? placeTold : last.place;
            whole.stands(1 / portion.share(), last.place);
        }
        double shift = System.nanoTime() / NANOS_PER_MS - nowMs; // from the I/O thread's clock to the fleet's
        List<Seen> all = new ArrayList<>();
        all.add(new Seen(service.node(), 0, service.fails(), service.failedAtMs() + shift, service.heardAtMs() + shift));
        caches.forEach((node, started) -> {
            double until = until(node);
            boolean fails = hearsay.isOwn(node, until);
            if (!fails) {
                failing.remove(node);
            } else if (failing.get(node) == null || failing.get(node)[0] != until) { // ejected again
                failing.put(node, new double[] {until, nowMs});
            }
            double failedAt = Math.max(fails ? failing.get(node)[1] : Double.NEGATIVE_INFINITY, struckAt.getOrDefault(node, Double.NEGATIVE_INFINITY)) + shift;
            all.add(new Seen(node, started, fails || struckAt.containsKey(node), failedAt, heardAt.getOrDefault(node, Double.NEGATIVE_INFINITY) + shift));
        });
        seen = all;
    }

    private double until(NodeId node) {
        Learnt one = learnt.get(node);
        return one == null || one.startedAtMs() != startedAt.getOrDefault(node, Double.NaN) ? 0 : one.asideUntilMs();
    }

    @Override
    public void listCalled(double nowMs, boolean answered) {
        service = new Seen(service.node(), 0, !answered, answered ? service.failedAtMs() : nowMs, answered ? nowMs : service.heardAtMs());
    }

    @Override
    public double listAgainMs(double nowMs, double ownMs) {
        return turns.again(nowMs, ownMs);
    }

    private void hear(double nowMs, List<Said> words) {
        for (Said said : words) {
            double callIn = said.node().equals(ListTurns.SERVICE) ? turns.said(nowMs, said) : Double.NaN;
            if (!Double.isNaN(callIn) && service.fails()) {
                whole.callIn(callIn);
            }
        }
        Map<NodeId, Held> caches = new HashMap<>();
        startedAt.forEach((node, started) -> caches.put(node, new Held(started, until(node), heardAt.getOrDefault(node, Double.NEGATIVE_INFINITY))));
        List<Learnt> told = new ArrayList<>();
        for (Order order : hearsay.decide(nowMs, words, caches)) {
            Learnt before = learnt.get(order.node());
            Learnt one = before == null ? new Learnt(order.node(), order.startedAtMs(), order.asideUntilMs(), 0, 0, 0)
                    : new Learnt(order.node(), order.startedAtMs(), order.asideUntilMs(), before.busyUntilMs(), before.idleScale(), before.shed());
            told.add(one);
        }
        if (!told.isEmpty()) {
            told.forEach(one -> learnt.put(one.node(), one)); // until the next update from the router
            orders.accept(told);
        }
    }

    @Override
    public Collection<Seen> seen() {
        return seen;
    }

    @Override
    public double ratePerS() {
        return ratePerS;
    }

    @Override
    public void stands(double share, double place) {
        told = new Told(share, place, System.nanoTime() / NANOS_PER_MS);
    }

    @Override
    public void say(List<Said> words) {
        loop.execute(() -> hear(nowMs.getAsDouble(), words));
    }
}
