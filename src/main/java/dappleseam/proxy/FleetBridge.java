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

/**
 * Connects the I/O thread with the fleet's thread: publishes what this proxy observes of its caches and applies the verdicts of
 * other members.
 */
final class FleetBridge implements FleetObserver, RouterAdapter {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1000;
    /** Time constant in ms for smoothing the query rate. */
    private static final double RATE_SMOOTHING_MS = 5000;
    /** Age in ms from which a new process announces its query rate. */
    private static final double MIN_RATE_AGE_MS = 1000;
    /**
     * Number of answers over which the typical latency is smoothed, and the multiple of it, but at least the minimum in ms, after which an
     * execution without an answer counts against its cache.
     */
    private static final double LATENCY_SMOOTHING = 64;
    private static final double SILENCE_FACTOR = 8;
    private static final double MIN_SILENCE_MS = 100;

    /** Change of the position that is passed on: a fifth of one proxy's part among a hundred. */
    private static final double POSITION_THRESHOLD = 0.002;

    private final Consumer<List<NodeHealth>> applyEjections;
    private final ProxyCallbacks callbacks;
    private final Executor loopExecutor;
    private final DoubleSupplier nowMs;
    private final PeerEjectionPolicy ejectionPolicy;
    /** When each cache last answered. This and the following fields are used on the I/O thread only. */
    private final Map<NodeId, Double> answeredAt = new HashMap<>();
    /** Caches ejected by this proxy's own findings: until when, and since when. */
    private final Map<NodeId, double[]> ownEjections = new HashMap<>();
    /** Caches that left an execution unanswered and have not answered since, with the time of that. */
    private final Map<NodeId, Double> unansweredAt = new HashMap<>();
    private double typicalLatencyMs;
    private Map<NodeId, NodeHealth> nodeHealth = Map.of();
    private Map<NodeId, Double> startedAt = Map.of();
    private double updatedAt = Double.NaN;
    private long queryCount;
    private double smoothedRate;
    private double firstUpdateAt = Double.NaN;
    private final ShareRamp shareRamp;
    /** This and the next two fields are read or written by other threads, too. */
    private volatile Collection<LocalObservation> observed = List.of();
    private volatile double ratePerS = Double.NaN;
    private volatile AssignedShare assigned = new AssignedShare(Double.NaN, Double.NaN, Double.NEGATIVE_INFINITY);
    private double reportedPosition = Double.NEGATIVE_INFINITY;
    private final ListRetrySchedule listRetrySchedule = new ListRetrySchedule();
    private LocalObservation listService = new LocalObservation(ListRetrySchedule.LIST_SERVICE, 0, false, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY);

    /** What the fleet assigned last, and when by the fleet's clock. */
    private record AssignedShare(double share, double position, double atMs) {}

    /** {@code applyEjections} passes ejections to the router on the I/O thread, which {@code loopExecutor} runs tasks on; {@code nowMs} is its clock. */
    FleetBridge(long seed, Consumer<List<NodeHealth>> applyEjections, ProxyCallbacks callbacks, Executor loopExecutor, DoubleSupplier nowMs) {
        ejectionPolicy = new PeerEjectionPolicy(new SplittableRandom(seed));
        this.applyEjections = applyEjections;
        this.callbacks = callbacks;
        shareRamp = new ShareRamp(1 / callbacks.configuredProxyCount());
        this.loopExecutor = loopExecutor;
        this.nowMs = nowMs;
    }

    @Override
    public void queryAccepted() {
        queryCount++;
    }

    @Override
    public void cacheAnswered(NodeId node, double nowMs, double tookMs) {
        answeredAt.put(node, nowMs);
        unansweredAt.remove(node);
        typicalLatencyMs += (tookMs - typicalLatencyMs) / LATENCY_SMOOTHING;
    }

    @Override
    public void unanswered(NodeId node, double sentAtMs, double nowMs, double tookMs) {
        boolean silent = answeredAt.getOrDefault(node, Double.NEGATIVE_INFINITY) < sentAtMs;
        if (silent && tookMs > Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * typicalLatencyMs)) {
            unansweredAt.put(node, nowMs);
        }
    }

    @Override
    public void update(double nowMs, List<NodeHealth> health, Map<NodeId, Double> caches) {
        Map<NodeId, NodeHealth> now = new HashMap<>();
        health.forEach(entry -> now.put(entry.node(), entry));
        nodeHealth = now;
        caches.forEach((node, started) -> {
            if (!started.equals(startedAt.get(node))) { // findings on the previous process do not apply to a restarted one
                unansweredAt.remove(node);
                answeredAt.remove(node);
                ownEjections.remove(node);
            }
        });
        startedAt = caches;
        answeredAt.keySet().retainAll(caches.keySet());
        ownEjections.keySet().retainAll(caches.keySet());
        unansweredAt.keySet().retainAll(caches.keySet());
        if (!Double.isNaN(updatedAt) && nowMs > updatedAt) {
            double share = Math.min(1, (nowMs - updatedAt) / Math.min(RATE_SMOOTHING_MS, nowMs - firstUpdateAt)); // a new process averages over its age
            smoothedRate += share * (queryCount * MS_PER_S / (nowMs - updatedAt) - smoothedRate);
            queryCount = 0;
        }
        firstUpdateAt = Double.isNaN(firstUpdateAt) ? nowMs : firstUpdateAt;
        updatedAt = nowMs;
        ratePerS = nowMs >= firstUpdateAt + MIN_RATE_AGE_MS ? smoothedRate : Double.NaN;
        AssignedShare assignment = assigned;
        boolean isNewShare = shareRamp.update(nowMs, assignment.share, System.nanoTime() / NANOS_PER_MS - assignment.atMs, 1 / callbacks.configuredProxyCount());
        if (isNewShare || Math.abs(assignment.position - reportedPosition) > POSITION_THRESHOLD) {
            reportedPosition = Double.isNaN(assignment.position) ? reportedPosition : assignment.position;
            callbacks.shareChanged(1 / shareRamp.share(), assignment.position);
        }
        double clockOffset = System.nanoTime() / NANOS_PER_MS - nowMs; // from the I/O thread's clock to the fleet's
        List<LocalObservation> collected = new ArrayList<>();
        collected.add(new LocalObservation(listService.node(), 0, listService.failing(), listService.failedAtMs() + clockOffset, listService.lastAnswerAtMs() + clockOffset));
        caches.forEach((node, started) -> {
            double ejectedUntil = ejectedUntil(node);
            boolean fails = ejectionPolicy.isLocallyEjected(node, ejectedUntil);
            if (!fails) {
                ownEjections.remove(node);
            } else if (ownEjections.get(node) == null || ownEjections.get(node)[0] != ejectedUntil) { // ejected again
                ownEjections.put(node, new double[] {ejectedUntil, nowMs});
            }
            double failedAt = Math.max(fails ? ownEjections.get(node)[1] : Double.NEGATIVE_INFINITY, unansweredAt.getOrDefault(node, Double.NEGATIVE_INFINITY)) + clockOffset;
            collected.add(new LocalObservation(node, started, fails || unansweredAt.containsKey(node), failedAt, answeredAt.getOrDefault(node, Double.NEGATIVE_INFINITY) + clockOffset));
        });
        observed = collected;
    }

    private double ejectedUntil(NodeId node) {
        NodeHealth entry = nodeHealth.get(node);
        return entry == null || entry.startedAtMs() != startedAt.getOrDefault(node, Double.NaN) ? 0 : entry.ejectedUntilMs();
    }

    @Override
    public void listRequestEnded(double nowMs, boolean answered) {
        listService = new LocalObservation(listService.node(), 0, !answered, answered ? listService.failedAtMs() : nowMs, answered ? nowMs : listService.lastAnswerAtMs());
    }

    @Override
    public double listRetryDelayMs(double nowMs, double defaultMs) {
        return listRetrySchedule.retryDelayMs(nowMs, defaultMs);
    }

    private void applyVerdicts(double nowMs, List<PeerVerdict> verdicts) {
        for (PeerVerdict verdict : verdicts) {
            double delayMs = verdict.node().equals(ListRetrySchedule.LIST_SERVICE) ? listRetrySchedule.onVerdict(nowMs, verdict) : Double.NaN;
            if (!Double.isNaN(delayMs) && listService.failing()) {
                callbacks.requestListIn(delayMs);
            }
        }
        Map<NodeId, NodeState> caches = new HashMap<>();
        startedAt.forEach((node, started) -> caches.put(node, new NodeState(started, ejectedUntil(node), answeredAt.getOrDefault(node, Double.NEGATIVE_INFINITY))));
        List<NodeHealth> changed = new ArrayList<>();
        for (Ejection ejection : ejectionPolicy.decide(nowMs, verdicts, caches)) {
            NodeHealth previous = nodeHealth.get(ejection.node());
            NodeHealth entry = previous == null ? new NodeHealth(ejection.node(), ejection.startedAtMs(), ejection.ejectedUntilMs(), 0, 0, 0)
                    : new NodeHealth(ejection.node(), ejection.startedAtMs(), ejection.ejectedUntilMs(), previous.busyUntilMs(), previous.idleWeight(), previous.shedShare());
            changed.add(entry);
        }
        if (!changed.isEmpty()) {
            changed.forEach(entry -> nodeHealth.put(entry.node(), entry)); // until the next update from the router
            applyEjections.accept(changed);
        }
    }

    @Override
    public Collection<LocalObservation> observations() {
        return observed;
    }

    @Override
    public double queriesPerS() {
        return ratePerS;
    }

    @Override
    public void onShare(double share, double position) {
        assigned = new AssignedShare(share, position, System.nanoTime() / NANOS_PER_MS);
    }

    @Override
    public void onVerdicts(List<PeerVerdict> verdicts) {
        loopExecutor.execute(() -> applyVerdicts(nowMs.getAsDouble(), verdicts));
    }
}
