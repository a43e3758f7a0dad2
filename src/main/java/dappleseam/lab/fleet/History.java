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
public record History(int members, long seed, List<Step> steps, boolean shares) {
    /** The kinds of faults. */
    public enum Kind { KILL, RESTART, CLOCK_BACK, CLOCK_AHEAD, LEAVE, STOP, SPLIT, ONE_WAY, LOSSY, ALL_LOSSY, SWAP }

    /**
     * A fault. {@code a} and {@code b} are members' numbers, for a split the last members of the first two partitions; {@code afterMs}: time since the
     * previous step; {@code forMs}: duration.
     */
    public record Step(Kind kind, int a, int b, double afterMs, double forMs) {}

    /** The result; {@code agreedMs}: time from the end of the last fault until all views agreed, NaN if they did not. */
    public record Verdict(List<ViewChecker.Breach> breaches, double agreedMs, long datagrams, Taken taken) {}

    /**
     * With shares by traffic: the highest sum of all running members' shares and its time in ms, the lowest share of a member as a multiple of an even
     * share, and the sum at the end.
     */
    public record Taken(double most, double mostAtMs, double least, double last) {}

    private static final double PERIOD_MS = 1000;
    private static final double START_MS = 20_000;
    /** Time in ms after the last fault until all views have to be correct: a retry of each failed member, then the propagation of the update. */
    private static final double SETTLE_MS = 180_000;
    /** Time in ms from the end of a process until all know of it: the longest suspicion and two rounds of probes. */
    private static final double LATE_MS = 60_000;
    private static final double GRACE_MS = 60_000;
    /** Time in ms until a new process is known to all. */
    private static final double RUMOUR_MS = 10_000;
    /** Running members from which on some member can always probe indirectly for two that do not reach each other. */
    private static final int ENOUGH_TO_HELP = 5;
    /** Share of datagrams that is lost during a fault. */
    private static final double LOSS = 0.3;

    /** Mean time in ms between traffic changes, each of one member; the maximum factor by which it rises or falls. */
    private static final double TRAFFIC_MS = 5000;
    private static final double TRAFFIC_TIMES = 8;
    private static final double MOST_RATE = 2000;

    public History(int members, long seed, List<Step> steps) {
        this(members, seed, steps, false);
    }

    /** The same history with shares by traffic, with traffic that changes all the time. */
    public History withShares() {
        return new History(members, seed, steps, true);
    }

    /** A random history, determined by the seed. */
    public static History draw(long seed, int members, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> drawn = new ArrayList<>();
        Kind[] kinds = Kind.values();
        for (int i = 0; i < steps; i++) {
            drawn.add(new Step(kinds[random.nextInt(kinds.length)], random.nextInt(members), random.nextInt(members),
                    random.nextDouble() * 15_000, 100 + random.nextDouble() * random.nextDouble() * 30_000));
        }
        return new History(members, seed, drawn);
    }

    public Verdict play() {
        return play(Planted.NONE);
    }

    /** Plays the history with a planted fault, to show that the checks detect it. */
    public Verdict play(Planted planted) {
        Run run = new Run(planted);
        return run.play();
    }

    /** Removes steps one by one as long as the history still fails; what is left is needed for the failure. */
    public History shrink(Planted planted) {
        History least = this;
        for (int i = 0; i < least.steps.size();) {
            List<Step> fewer = new ArrayList<>(least.steps);
            fewer.remove(i);
            History tried = new History(members, seed, fewer, shares);
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
        final Truth truth = new Truth();
        final ViewChecker.Records records = new ViewChecker.Records();
        final int[] counted = new int[members];
        /** Members that are down permanently, or until the end of the step that took them down. */
        final Set<Integer> busy = new HashSet<>();
        final SplittableRandom traffic = new SplittableRandom(seed ^ 0x7ea551c);
        double most;
        double mostAt;
        double least = Double.POSITIVE_INFINITY;
        double last;

        Run(Planted planted) {
            fleet = new SimulatedFleet(SimulatedFleet.Module.SHIPPED, MembershipConfig.defaults(members).withPeriod(PERIOD_MS), members, seed);
            fleet.plant(planted);
            fleet.watch(this::saw);
            if (shares) {
                fleet.choices = new FleetFeatures(false, true, false, false);
                fleet.nodes().forEach(node -> node.ratePerS = Math.min(MOST_RATE, 5 / (0.02 + traffic.nextDouble())));
                changeTraffic();
            }
        }

        void changeTraffic() {
            fleet.after(-TRAFFIC_MS * Math.log(1 - traffic.nextDouble()), () -> {
                Node node = fleet.node(traffic.nextInt(members));
                double times = Math.pow(TRAFFIC_TIMES, 2 * traffic.nextDouble() - 1);
                node.ratePerS = Math.min(MOST_RATE, node.ratePerS * times);
                changeTraffic();
            });
        }

        /** Adds up the shares of all running members; a member without a share yet uses an even one, as it would by its settings. */
        void watchShares() {
            double sum = 0;
            for (Node node : fleet.nodes()) {
                if (node.up) {
                    double share = node.desk.share();
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
            records.sights().add(new Sight(nowMs, viewer.nonce(), after.name().text(), after.generation().nonce(), after.incarnation(), after.state()));
        }

        Verdict play() {
            List<InetSocketAddress> seeds = List.of(SimulatedFleet.address(0), SimulatedFleet.address(1));
            for (Node node : fleet.nodes()) {
                fleet.after(fleet.random().nextDouble() * PERIOD_MS, () -> start(node, seeds));
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
            return new Verdict(ViewChecker.check(truth, records, new ViewChecker.Bounds(LATE_MS, GRACE_MS, fleet.nowMs(), RUMOUR_MS)), agreed,
                    fleet.datagrams, new Taken(most, mostAt, least, last));
        }

        double untilAgreed(double most) {
            double from = fleet.nowMs();
            while (!fleet.agree()) {
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
                if (shares && fleet.nodes().stream().allMatch(n -> !n.up || n.desk != null)) {
                    watchShares();
                }
                for (Node node : fleet.nodes()) {
                    if (node.up && node.membership().fleetSize() != counted[node.number]) {
                        counted[node.number] = node.membership().fleetSize();
                        records.counts().add(new ViewChecker.Counted(fleet.nowMs(), node.nonce(), counted[node.number]));
                    }
                }
            }
        }

        void start(Node node, List<InetSocketAddress> seeds) {
            node.start(seeds);
            truth.began(node.name.text(), node.nonce(), fleet.nowMs());
            counted[node.number] = 0;
        }

        void kill(Node node) {
            truth.ended(node.name.text(), fleet.nowMs());
            node.kill();
        }

        void restart(Node node, double inMs, long clockOffMs) {
            kill(node);
            busy.add(node.number);
            fleet.after(inMs, () -> {
                node.clockOffMs = clockOffMs;
                // Any running members serve as seeds.
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
                        truth.ended(a.name.text(), now);
                        a.leaveOrderly();
                        busy.add(a.number);
                    }
                }
                case STOP -> {
                    if (isFree(a)) {
                        a.stop(step.forMs);
                        truth.troubled(a.name.text(), now, end);
                    }
                }
                case SPLIT -> {
                    fleet.nodes().forEach(n -> n.group = n.number <= step.a ? 1 : n.number <= step.b ? 2 : 3);
                    truth.troubled(null, now, end);
                    fleet.after(step.forMs, () -> fleet.nodes().forEach(n -> n.group = 0));
                }
                case ONE_WAY -> {
                    if (a != b && b.deafTo.add(a.number)) {
                        if (fleet.nodes().stream().filter(n -> n.up).count() < ENOUGH_TO_HELP) {
                            truth.troubled(a.name.text(), now, end);
                            truth.troubled(b.name.text(), now, end);
                        }
                        fleet.after(step.forMs, () -> b.deafTo.remove(a.number));
                    }
                }
                case LOSSY -> {
                    a.loss = LOSS;
                    truth.troubled(a.name.text(), now, end);
                    fleet.after(step.forMs, () -> a.loss = 0);
                }
                case ALL_LOSSY -> {
                    fleet.loss = LOSS;
                    truth.troubled(null, now, end);
                    fleet.after(step.forMs, () -> fleet.loss = 0);
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
