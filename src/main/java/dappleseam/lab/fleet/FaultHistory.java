package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.share.FleetFeatures;
import dappleseam.lab.fleet.SimulatedFleet.Node;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** A simulated run of a fleet: it starts, faults are injected, all of them end, and then all views have to agree. Fully determined by its components. */
public record FaultHistory(int members, long seed, List<Step> steps, boolean shares) {
    /** The kinds of faults. */
    public enum Kind { KILL, RESTART, CLOCK_BACK, CLOCK_AHEAD, LEAVE, STOP, SPLIT, ONE_WAY, LOSSY, ALL_LOSSY, SWAP }

    /**
     * A fault. {@code a} and {@code b} are members' numbers, for a split the last members of the first two partitions; {@code afterMs}: time since the
     * previous step; {@code forMs}: duration.
     */
    public record Step(Kind kind, int a, int b, double afterMs, double forMs) {}

    /** The result; {@code agreedMs}: time from the end of the last fault until all views agreed, NaN if they did not. */
    public record Outcome(List<ViewChecker.Breach> breaches, double agreedMs, long datagrams, ShareTotals shareTotals) {}

    /**
     * With shares by traffic: the highest sum of all running members' shares and its time in ms, the lowest share of a member as a multiple of an even
     * share, and the sum at the end.
     */
    public record ShareTotals(double highest, double highestAtMs, double lowestShare, double atEnd) {}

    private static final double PERIOD_MS = 1000;
    private static final double START_MS = 20_000;
    /** Time in ms after the last fault until all views have to be correct: a retry of each failed member, then the propagation of the update. */
    private static final double AGREEMENT_MS = 180_000;
    /** Time in ms from the end of a process until all know of it: the longest suspicion and two rounds of probes. */
    private static final double DETECTION_MS = 60_000;
    private static final double GRACE_MS = 60_000;
    /** Time in ms until a new process is known to all. */
    private static final double PROPAGATION_MS = 10_000;
    /** Running members from which on some member can always probe indirectly for two that do not reach each other. */
    private static final int MIN_INDIRECT_PROBE_MEMBERS = 5;
    /** Share of datagrams that is lost during a fault. */
    private static final double LOSS_RATE = 0.3;

    /** Mean time in ms between traffic changes, each of one member; the maximum factor by which it rises or falls. */
    private static final double TRAFFIC_CHANGE_MS = 5000;
    private static final double MAX_TRAFFIC_FACTOR = 8;
    private static final double MAX_TRAFFIC_PER_S = 2000;

    public FaultHistory(int members, long seed, List<Step> steps) {
        this(members, seed, steps, false);
    }

    /** The same history with shares by traffic, with traffic that changes all the time. */
    public FaultHistory withShares() {
        return new FaultHistory(members, seed, steps, true);
    }

    /** A random history, determined by the seed. */
    public static FaultHistory generate(long seed, int members, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> generated = new ArrayList<>();
        Kind[] kinds = Kind.values();
        for (int i = 0; i < steps; i++) {
            generated.add(new Step(kinds[random.nextInt(kinds.length)], random.nextInt(members), random.nextInt(members),
                    random.nextDouble() * 15_000, 100 + random.nextDouble() * random.nextDouble() * 30_000));
        }
        return new FaultHistory(members, seed, generated);
    }

    public Outcome play() {
        return play(PlantedFault.NONE);
    }

    /** Plays the history with a planted fault, to show that the checks detect it. */
    public Outcome play(PlantedFault plantedFault) {
        Run run = new Run(plantedFault);
        return run.play();
    }

    /** Removes steps one by one as long as the history still fails; what is left is needed for the failure. */
    public FaultHistory shrink(PlantedFault plantedFault) {
        FaultHistory shortest = this;
        for (int i = 0; i < shortest.steps.size();) {
            List<Step> shortened = new ArrayList<>(shortest.steps);
            shortened.remove(i);
            FaultHistory candidate = new FaultHistory(members, seed, shortened, shares);
            if (candidate.play(plantedFault).breaches.isEmpty()) {
                i++;
            } else {
                shortest = candidate;
            }
        }
        return shortest;
    }

    private final class Run {
        final SimulatedFleet fleet;
        final GroundTruth groundTruth = new GroundTruth();
        final ViewChecker.Records records = new ViewChecker.Records();
        final int[] lastFleetSizes = new int[members];
        /** Members that are down permanently, or until the end of the step that took them down. */
        final Set<Integer> unavailable = new HashSet<>();
        final SplittableRandom traffic = new SplittableRandom(seed ^ 0x7ea551c);
        double highest;
        double highestAt;
        double lowestShare = Double.POSITIVE_INFINITY;
        double atEnd;

        Run(PlantedFault plantedFault) {
            fleet = new SimulatedFleet(SimulatedFleet.Module.SHIPPED, MembershipConfig.defaults(members).withPeriod(PERIOD_MS), members, seed);
            fleet.setPlantedFault(plantedFault);
            fleet.setViewListener(this::recordViewChange);
            if (shares) {
                fleet.features = new FleetFeatures(false, true, false, false);
                fleet.nodes().forEach(node -> node.trafficPerS = Math.min(MAX_TRAFFIC_PER_S, 5 / (0.02 + traffic.nextDouble())));
                changeTraffic();
            }
        }

        void changeTraffic() {
            fleet.schedule(-TRAFFIC_CHANGE_MS * Math.log(1 - traffic.nextDouble()), () -> {
                Node node = fleet.node(traffic.nextInt(members));
                double factor = Math.pow(MAX_TRAFFIC_FACTOR, 2 * traffic.nextDouble() - 1);
                node.trafficPerS = Math.min(MAX_TRAFFIC_PER_S, node.trafficPerS * factor);
                changeTraffic();
            });
        }

        /** Adds up the shares of all running members; a member without a share yet uses an even one, as it would by its settings. */
        void sampleShares() {
            double sum = 0;
            for (Node node : fleet.nodes()) {
                if (node.up) {
                    double share = node.signalExchange.share();
                    double even = 1.0 / Math.max(members, node.membership().fleetSize());
                    sum += Double.isNaN(share) ? even : share;
                    lowestShare = Double.isNaN(share) ? lowestShare : Math.min(lowestShare, share * members);
                }
            }
            if (sum > highest) {
                highest = sum;
                highestAt = fleet.nowMs();
            }
            atEnd = sum;
        }

        void recordViewChange(double nowMs, Node viewer, MemberEntry before, MemberEntry after) {
            records.viewChanges().add(new ViewChange(nowMs, viewer.nonce(), after.name().text(), after.generation().nonce(), after.incarnation(), after.state()));
        }

        Outcome play() {
            List<InetSocketAddress> seeds = List.of(SimulatedFleet.address(0), SimulatedFleet.address(1));
            for (Node node : fleet.nodes()) {
                fleet.schedule(fleet.random().nextDouble() * PERIOD_MS, () -> start(node, seeds));
            }
            advance(START_MS);
            double lastFaultEnd = fleet.nowMs();
            for (Step step : steps) {
                advance(step.afterMs);
                apply(step);
                lastFaultEnd = Math.max(lastFaultEnd, fleet.nowMs() + step.forMs);
            }
            advance(Math.max(0, lastFaultEnd - fleet.nowMs()) + 1);
            double faultsEndedAt = fleet.nowMs();
            double timeToAgreement = untilAgreed(AGREEMENT_MS);
            advance(Math.max(0, faultsEndedAt + AGREEMENT_MS - fleet.nowMs()));
            return new Outcome(ViewChecker.check(groundTruth, records, new ViewChecker.Bounds(DETECTION_MS, GRACE_MS, fleet.nowMs(), PROPAGATION_MS)), timeToAgreement,
                    fleet.datagrams, new ShareTotals(highest, highestAt, lowestShare, atEnd));
        }

        double untilAgreed(double maxMs) {
            double from = fleet.nowMs();
            while (!fleet.allViewsCorrect()) {
                if (fleet.nowMs() >= from + maxMs) {
                    return Double.NaN;
                }
                advance(PERIOD_MS / 5);
            }
            return fleet.nowMs() - from;
        }

        void advance(double ms) {
            double until = fleet.nowMs() + ms;
            while (fleet.nowMs() < until) {
                fleet.runUntil(Math.min(until, fleet.nowMs() + PERIOD_MS / 2));
                if (shares && fleet.nodes().stream().allMatch(n -> !n.up || n.signalExchange != null)) {
                    sampleShares();
                }
                for (Node node : fleet.nodes()) {
                    if (node.up && node.membership().fleetSize() != lastFleetSizes[node.number]) {
                        lastFleetSizes[node.number] = node.membership().fleetSize();
                        records.fleetSizes().add(new ViewChecker.Divisor(fleet.nowMs(), node.nonce(), lastFleetSizes[node.number]));
                    }
                }
            }
        }

        void start(Node node, List<InetSocketAddress> seeds) {
            node.start(seeds);
            groundTruth.processStarted(node.name.text(), node.nonce(), fleet.nowMs());
            lastFleetSizes[node.number] = 0;
        }

        void kill(Node node) {
            groundTruth.processEnded(node.name.text(), fleet.nowMs());
            node.kill();
        }

        void restart(Node node, double delayMs, long clockOffsetMs) {
            kill(node);
            unavailable.add(node.number);
            fleet.schedule(delayMs, () -> {
                node.clockOffsetMs = clockOffsetMs;
                // Any running members serve as seeds.
                start(node, fleet.nodes().stream().filter(n -> n.up && n != node).limit(3).map(n -> n.address).toList());
                unavailable.remove(node.number);
            });
        }

        boolean isAvailable(Node node) {
            return node.up && !unavailable.contains(node.number) && !node.isStopped();
        }

        void apply(Step step) {
            Node a = fleet.node(step.a);
            Node b = fleet.node(step.b);
            double now = fleet.nowMs();
            double end = now + step.forMs;
            switch (step.kind) {
                case KILL -> {
                    if (isAvailable(a) && fleet.nodes().stream().filter(n -> n.up).count() > 2) {
                        kill(a);
                        unavailable.add(a.number);
                    }
                }
                case RESTART, CLOCK_BACK, CLOCK_AHEAD -> {
                    if (isAvailable(a)) {
                        restart(a, step.forMs, step.kind == Kind.RESTART ? 0 : (step.kind == Kind.CLOCK_BACK ? -1 : 1) * 3_600_000L);
                    }
                }
                case LEAVE -> {
                    if (isAvailable(a) && fleet.nodes().stream().filter(n -> n.up).count() > 2) {
                        groundTruth.processEnded(a.name.text(), now);
                        a.leave();
                        unavailable.add(a.number);
                    }
                }
                case STOP -> {
                    if (isAvailable(a)) {
                        a.stop(step.forMs);
                        groundTruth.addFault(a.name.text(), now, end);
                    }
                }
                case SPLIT -> {
                    fleet.nodes().forEach(n -> n.partition = n.number <= step.a ? 1 : n.number <= step.b ? 2 : 3);
                    groundTruth.addFault(null, now, end);
                    fleet.schedule(step.forMs, () -> fleet.nodes().forEach(n -> n.partition = 0));
                }
                case ONE_WAY -> {
                    if (a != b && b.blockedSenders.add(a.number)) {
                        if (fleet.nodes().stream().filter(n -> n.up).count() < MIN_INDIRECT_PROBE_MEMBERS) {
                            groundTruth.addFault(a.name.text(), now, end);
                            groundTruth.addFault(b.name.text(), now, end);
                        }
                        fleet.schedule(step.forMs, () -> b.blockedSenders.remove(a.number));
                    }
                }
                case LOSSY -> {
                    a.lossRate = LOSS_RATE;
                    groundTruth.addFault(a.name.text(), now, end);
                    fleet.schedule(step.forMs, () -> a.lossRate = 0);
                }
                case ALL_LOSSY -> {
                    fleet.lossRate = LOSS_RATE;
                    groundTruth.addFault(null, now, end);
                    fleet.schedule(step.forMs, () -> fleet.lossRate = 0);
                }
                case SWAP -> {
                    if (a != b && isAvailable(a) && isAvailable(b)) {
                        restart(a, step.forMs, 0);
                        restart(b, step.forMs, 0);
                        InetSocketAddress other = a.address;
                        a.address = b.address;
                        b.address = other;
                    }
                }
            }
        }
    }
}
