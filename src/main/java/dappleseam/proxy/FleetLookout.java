package dappleseam.proxy;

import dappleseam.fleet.peers.RouterAdapter;
import dappleseam.fleet.share.PeerEjectionPolicy;
import dappleseam.fleet.share.PeerEjectionPolicy.NodeState;
import dappleseam.fleet.share.PeerEjectionPolicy.Ejection;
import dappleseam.fleet.share.ListRetrySchedule;
import dappleseam.fleet.share.ShareRamp;
import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.LocalObservation;
import dappleseam.router.NodeHealth;
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

/** Between the I/O thread, where queries are, and the fleet's: what this proxy saw of caches goes out, what others say comes in. */
final class FleetLookout implements Lookout, RouterAdapter {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1000;
    /** Time in ms over which the rate of queries is smoothed. */
    private static final double SMOOTH_MS = 5000;
    /** Time in ms after which the rate of a new process is worth telling. */
    private static final double RATE_FROM_MS = 1000;
    /** Latest answers over which the usual time of one is taken; multiple of it, and least in ms, from which none is silence. */
    private static final double USUAL_OF = 64;
    private static final double SILENT_TIMES = 8;
    private static final double SILENT_LEAST_MS = 100;

    /** By how much a place has to be another to be told: of a hundred proxies, a fifth of one. */
    private static final double PLACE_NEWS = 0.002;

    private final Consumer<List<NodeHealth>> orders;
    private final Whole whole;
    private final Executor loop;
    private final DoubleSupplier nowMs;
    private final PeerEjectionPolicy hearsay;
    /** The I/O thread's. */
    private final Map<NodeId, Double> heardAt = new HashMap<>();
    private final Map<NodeId, double[]> failing = new HashMap<>();
    /** Caches of which an execution had no answer, and that have not answered since. */
    private final Map<NodeId, Double> struckAt = new HashMap<>();
    private double usualMs;
    private Map<NodeId, NodeHealth> learnt = Map.of();
    private Map<NodeId, Double> startedAt = Map.of();
    private double lookedAt = Double.NaN;
    private long taken;
    private double rate;
    private double bornAt = Double.NaN;
    private final ShareRamp portion;
    /** For any thread. */
    private volatile Collection<LocalObservation> seen = List.of();
    private volatile double ratePerS = Double.NaN;
    private volatile Told told = new Told(Double.NaN, Double.NaN, Double.NEGATIVE_INFINITY);
    private double placeTold = Double.NEGATIVE_INFINITY;
    private final ListRetrySchedule turns = new ListRetrySchedule();
    private LocalObservation service = new LocalObservation(ListRetrySchedule.LIST_SERVICE, 0, false, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY);

    private record Told(double share, double place, double atMs) {}

    /** {@code orders}: the router's, on the I/O thread, which {@code loop} runs things on, by its clock. */
    FleetLookout(long seed, Consumer<List<NodeHealth>> orders, Whole whole, Executor loop, DoubleSupplier nowMs) {
        hearsay = new PeerEjectionPolicy(new SplittableRandom(seed));
        this.orders = orders;
        this.whole = whole;
        portion = new ShareRamp(1 / whole.proxies());
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
    public void look(double nowMs, List<NodeHealth> known, Map<NodeId, Double> caches) {
        Map<NodeId, NodeHealth> now = new HashMap<>();
        known.forEach(one -> now.put(one.node(), one));
        learnt = now;
        caches.forEach((node, started) -> {
            if (!started.equals(startedAt.get(node))) { // what the process before it did is no word on this one
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
            double share = Math.min(1, (nowMs - lookedAt) / Math.min(SMOOTH_MS, nowMs - bornAt)); // at first over what there is
            rate += share * (taken * MS_PER_S / (nowMs - lookedAt) - rate);
            taken = 0;
        }
        bornAt = Double.isNaN(bornAt) ? nowMs : bornAt;
        lookedAt = nowMs;
        ratePerS = nowMs >= bornAt + RATE_FROM_MS ? rate : Double.NaN;
        Told last = told;
        boolean isNews = portion.update(nowMs, last.share, System.nanoTime() / NANOS_PER_MS - last.atMs, 1 / whole.proxies());
        if (isNews || Math.abs(last.place - placeTold) > PLACE_NEWS) {
            placeTold = Double.isNaN(last.place) ? placeTold : last.place;
            whole.stands(1 / portion.share(), last.place);
        }
        double shift = System.nanoTime() / NANOS_PER_MS - nowMs; // to the fleet's clock
        List<LocalObservation> all = new ArrayList<>();
        all.add(new LocalObservation(service.node(), 0, service.failing(), service.failedAtMs() + shift, service.lastAnswerAtMs() + shift));
        caches.forEach((node, started) -> {
            double until = until(node);
            boolean fails = hearsay.isLocallyEjected(node, until);
            if (!fails) {
                failing.remove(node);
            } else if (failing.get(node) == null || failing.get(node)[0] != until) { // found anew
                failing.put(node, new double[] {until, nowMs});
            }
            double failedAt = Math.max(fails ? failing.get(node)[1] : Double.NEGATIVE_INFINITY, struckAt.getOrDefault(node, Double.NEGATIVE_INFINITY)) + shift;
            all.add(new LocalObservation(node, started, fails || struckAt.containsKey(node), failedAt, heardAt.getOrDefault(node, Double.NEGATIVE_INFINITY) + shift));
        });
        seen = all;
    }

    private double until(NodeId node) {
        NodeHealth one = learnt.get(node);
        return one == null || one.startedAtMs() != startedAt.getOrDefault(node, Double.NaN) ? 0 : one.ejectedUntilMs();
    }

    @Override
    public void listCalled(double nowMs, boolean answered) {
        service = new LocalObservation(service.node(), 0, !answered, answered ? service.failedAtMs() : nowMs, answered ? nowMs : service.lastAnswerAtMs());
    }

    @Override
    public double listAgainMs(double nowMs, double ownMs) {
        return turns.retryDelayMs(nowMs, ownMs);
    }

    private void hear(double nowMs, List<PeerVerdict> words) {
        for (PeerVerdict said : words) {
            double callIn = said.node().equals(ListRetrySchedule.LIST_SERVICE) ? turns.onVerdict(nowMs, said) : Double.NaN;
            if (!Double.isNaN(callIn) && service.failing()) {
                whole.callIn(callIn);
            }
        }
        Map<NodeId, NodeState> caches = new HashMap<>();
        startedAt.forEach((node, started) -> caches.put(node, new NodeState(started, until(node), heardAt.getOrDefault(node, Double.NEGATIVE_INFINITY))));
        List<NodeHealth> told = new ArrayList<>();
        for (Ejection order : hearsay.decide(nowMs, words, caches)) {
            NodeHealth before = learnt.get(order.node());
            NodeHealth one = before == null ? new NodeHealth(order.node(), order.startedAtMs(), order.ejectedUntilMs(), 0, 0, 0)
                    : new NodeHealth(order.node(), order.startedAtMs(), order.ejectedUntilMs(), before.busyUntilMs(), before.idleWeight(), before.shedShare());
            told.add(one);
        }
        if (!told.isEmpty()) {
            told.forEach(one -> learnt.put(one.node(), one)); // until the router is asked again
            orders.accept(told);
        }
    }

    @Override
    public Collection<LocalObservation> observations() {
        return seen;
    }

    @Override
    public double queriesPerS() {
        return ratePerS;
    }

    @Override
    public void onShare(double share, double place) {
        told = new Told(share, place, System.nanoTime() / NANOS_PER_MS);
    }

    @Override
    public void onVerdicts(List<PeerVerdict> words) {
        loop.execute(() -> hear(nowMs.getAsDouble(), words));
    }
}
