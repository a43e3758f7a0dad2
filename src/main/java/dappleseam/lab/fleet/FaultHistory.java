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

/** A fleet's life in simulated time: it starts, troubles befall it, all of them end, and then its views have to agree. One seed, one verdict. */
public record FaultHistory(int members, long seed, List<Step> steps, boolean shares) {
    /** What befalls members. */
    public enum Kind { KILL, RESTART, CLOCK_BACK, CLOCK_AHEAD, LEAVE, STOP, SPLIT, ONE_WAY, LOSSY, ALL_LOSSY, SWAP }

    /** {@code a} and {@code b} are members' numbers, or the mask of a split; {@code forMs} how long it lasts; {@code afterMs} the step before it. */
    public record Step(Kind kind, int a, int b, double afterMs, double forMs) {}

    /** What came of it. */
    public record Outcome(List<ViewChecker.Breach> breaches, double agreedMs, long datagrams, ShareTotals shareTotals) {}

    /** Of the whole, where shares are told: the most that all that ran took together and when in ms, the least that one took as a multiple of an even share, and what all took at the end. */
    public record ShareTotals(double highest, double highestAtMs, double lowestShare, double atEnd) {}

    private static final double PERIOD_MS = 1000;
    private static final double START_MS = 20_000;
    /** Time in ms after the last trouble until all views have to be right: a retry for each failed member, then a rumour. */
    private static final double SETTLE_MS = 180_000;
    /** From an end until all know of it: the longest suspicion and two rounds of probes, in ms. */
    private static final double LATE_MS = 60_000;
    private static final double GRACE_MS = 60_000;
    /** Until a new process is known to all, in ms. */
    private static final double RUMOUR_MS = 10_000;
    /** Members from which on somebody can always probe in the stead of two who do not reach each other. */
    private static final int ENOUGH_TO_HELP = 5;
    /** What is lost in a rough spell. */
    private static final double LOSS = 0.3;

    /** Time in ms between changes of one member's traffic, in the mean; the factor by which it grows or falls at most. */
    private static final double TRAFFIC_MS = 5000;
    private static final double TRAFFIC_TIMES = 8;
    private static final double MOST_RATE = 2000;

    public FaultHistory(int members, long seed, List<Step> steps) {
        this(members, seed, steps, false);
    }

    /** The same, with shares by traffic that goes up and down all the while. */
    public FaultHistory withShares() {
        return new FaultHistory(members, seed, steps, true);
    }

    /** Drawn from the seed alone. */
    public static FaultHistory generate(long seed, int members, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> drawn = new ArrayList<>();
        Kind[] kinds = Kind.values();
        for (int i = 0; i < steps; i++) {
            drawn.add(new Step(kinds[random.nextInt(kinds.length)], random.nextInt(members), random.nextInt(members),
                    random.nextDouble() * 15_000, 100 + random.nextDouble() * random.nextDouble() * 30_000));
        }
        return new FaultHistory(members, seed, drawn);
    }

    public Outcome play() {
        return play(PlantedFault.NONE);
    }

    /** With a defence taken out, to show that the checks see it. */
    public Outcome play(PlantedFault planted) {
        Run run = new Run(planted);
        return run.play();
    }

    /** Leaves out one step after the other while it still fails: what is left is what it takes. */
    public FaultHistory shrink(PlantedFault planted) {
        FaultHistory least = this;
        for (int i = 0; i < least.steps.size();) {
            List<Step> fewer = new ArrayList<>(least.steps);
            fewer.remove(i);
            FaultHistory tried = new FaultHistory(members, seed, fewer, shares);
            if (tried.play(planted).breaches.isEmpty()) {
                i++;
            } else {
                least = tried;
            }
        }
        return least;
    }

    private final class Run {
        final SimulatedFleet fleet;
        final GroundTruth truth = new GroundTruth();
        final ViewChecker.Records records = new ViewChecker.Records();
        final int[] counted = new int[members];
        /** Those that are down for good, or until a step's own end. */
        final Set<Integer> busy = new HashSet<>();
        final SplittableRandom traffic = new SplittableRandom(seed ^ 0x7ea551c);
        double most;
        double mostAt;
        double least = Double.POSITIVE_INFINITY;
        double last;

        Run(PlantedFault planted) {
            fleet = new SimulatedFleet(SimulatedFleet.Module.SHIPPED, MembershipConfig.defaults(members).withPeriod(PERIOD_MS), members, seed);
            fleet.setPlantedFault(planted);
            fleet.setViewListener(this::saw);
            if (shares) {
                fleet.features = new FleetFeatures(false, true, false, false);
                fleet.nodes().forEach(node -> node.trafficPerS = Math.min(MOST_RATE, 5 / (0.02 + traffic.nextDouble())));
                changeTraffic();
            }
        }

        void changeTraffic() {
            fleet.schedule(-TRAFFIC_MS * Math.log(1 - traffic.nextDouble()), () -> {
                Node node = fleet.node(traffic.nextInt(members));
                double times = Math.pow(TRAFFIC_TIMES, 2 * traffic.nextDouble() - 1);
                node.trafficPerS = Math.min(MOST_RATE, node.trafficPerS * times);
                changeTraffic();
            });
        }

        /** All that run, by the shares that they go by; one that has none yet goes by its settings. */
        void watchShares() {
            double sum = 0;
            for (Node node : fleet.nodes()) {
                if (node.up) {
                    double share = node.signalExchange.share();
                    double even = 1.0 / Math.max(members, node.membership().fleetSize());
                    sum += Double.isNaN(share) ? even : share;
                    least = Double.isNaN(share) ? least : Math.min(least, share * members);
                }
            }
            if (sum > most) {
                most = sum;
                mostAt = fleet.nowMs();
            }
            last = sum;
        }

        void saw(double nowMs, Node viewer, MemberEntry before, MemberEntry after) {
            records.viewChanges().add(new ViewChange(nowMs, viewer.nonce(), after.name().text(), after.generation().nonce(), after.incarnation(), after.state()));
        }

        Outcome play() {
            List<InetSocketAddress> seeds = List.of(SimulatedFleet.address(0), SimulatedFleet.address(1));
            for (Node node : fleet.nodes()) {
                fleet.schedule(fleet.random().nextDouble() * PERIOD_MS, () -> start(node, seeds));
            }
            run(START_MS);
            double lastEnds = fleet.nowMs();
            for (Step step : steps) {
                run(step.afterMs);
                begin(step);
                lastEnds = Math.max(lastEnds, fleet.nowMs() + step.forMs);
            }
            run(Math.max(0, lastEnds - fleet.nowMs()) + 1);
            double calm = fleet.nowMs();
            double agreed = untilAgreed(SETTLE_MS);
            run(Math.max(0, calm + SETTLE_MS - fleet.nowMs()));
            return new Outcome(ViewChecker.check(truth, records, new ViewChecker.Bounds(LATE_MS, GRACE_MS, fleet.nowMs(), RUMOUR_MS)), agreed,
                    fleet.datagrams, new ShareTotals(most, mostAt, least, last));
        }

        double untilAgreed(double most) {
            double from = fleet.nowMs();
            while (!fleet.allViewsCorrect()) {
                if (fleet.nowMs() >= from + most) {
                    return Double.NaN;
                }
                run(PERIOD_MS / 5);
            }
            return fleet.nowMs() - from;
        }

        void run(double ms) {
            double until = fleet.nowMs() + ms;
            while (fleet.nowMs() < until) {
                fleet.runUntil(Math.min(until, fleet.nowMs() + PERIOD_MS / 2));
                if (shares && fleet.nodes().stream().allMatch(n -> !n.up || n.signalExchange != null)) {
                    watchShares();
                }
                for (Node node : fleet.nodes()) {
                    if (node.up && node.membership().fleetSize() != counted[node.number]) {
                        counted[node.number] = node.membership().fleetSize();
                        records.fleetSizes().add(new ViewChecker.Divisor(fleet.nowMs(), node.nonce(), counted[node.number]));
                    }
                }
            }
        }

        void start(Node node, List<InetSocketAddress> seeds) {
            node.start(seeds);
            truth.processStarted(node.name.text(), node.nonce(), fleet.nowMs());
            counted[node.number] = 0;
        }

        void kill(Node node) {
            truth.processEnded(node.name.text(), fleet.nowMs());
            node.kill();
        }

        void restart(Node node, double inMs, long clockOffMs) {
            kill(node);
            busy.add(node.number);
            fleet.schedule(inMs, () -> {
                node.clockOffsetMs = clockOffMs;
                // Any that runs will do; with none, the first ones.
                start(node, fleet.nodes().stream().filter(n -> n.up && n != node).limit(3).map(n -> n.address).toList());
                busy.remove(node.number);
            });
        }

        boolean isFree(Node node) {
            return node.up && !busy.contains(node.number) && !node.isStopped();
        }

        void begin(Step step) {
            Node a = fleet.node(step.a);
            Node b = fleet.node(step.b);
            double now = fleet.nowMs();
            double end = now + step.forMs;
            switch (step.kind) {
                case KILL -> {
                    if (isFree(a) && fleet.nodes().stream().filter(n -> n.up).count() > 2) {
                        kill(a);
                        busy.add(a.number);
                    }
                }
                case RESTART, CLOCK_BACK, CLOCK_AHEAD -> {
                    if (isFree(a)) {
                        restart(a, step.forMs, step.kind == Kind.RESTART ? 0 : (step.kind == Kind.CLOCK_BACK ? -1 : 1) * 3_600_000L);
                    }
                }
                case LEAVE -> {
                    if (isFree(a) && fleet.nodes().stream().filter(n -> n.up).count() > 2) {
                        truth.processEnded(a.name.text(), now);
                        a.leave();
                        busy.add(a.number);
                    }
                }
                case STOP -> {
                    if (isFree(a)) {
                        a.stop(step.forMs);
                        truth.addFault(a.name.text(), now, end);
                    }
                }
                case SPLIT -> {
                    fleet.nodes().forEach(n -> n.partition = n.number <= step.a ? 1 : n.number <= step.b ? 2 : 3);
                    truth.addFault(null, now, end);
                    fleet.schedule(step.forMs, () -> fleet.nodes().forEach(n -> n.partition = 0));
                }
                case ONE_WAY -> {
                    if (a != b && b.blockedSenders.add(a.number)) {
                        if (fleet.nodes().stream().filter(n -> n.up).count() < ENOUGH_TO_HELP) {
                            truth.addFault(a.name.text(), now, end);
                            truth.addFault(b.name.text(), now, end);
                        }
                        fleet.schedule(step.forMs, () -> b.blockedSenders.remove(a.number));
                    }
                }
                case LOSSY -> {
                    a.lossRate = LOSS;
                    truth.addFault(a.name.text(), now, end);
                    fleet.schedule(step.forMs, () -> a.lossRate = 0);
                }
                case ALL_LOSSY -> {
                    fleet.lossRate = LOSS;
                    truth.addFault(null, now, end);
                    fleet.schedule(step.forMs, () -> fleet.lossRate = 0);
                }
                case SWAP -> {
                    if (a != b && isFree(a) && isFree(b)) {
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
