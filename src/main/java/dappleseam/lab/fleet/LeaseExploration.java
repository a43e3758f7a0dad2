package dappleseam.lab.fleet;

import dappleseam.lab.fleet.LeaseModel.Kind;
import dappleseam.lab.fleet.LeaseModel.Move;
import dappleseam.lab.fleet.LeaseModel.PlantedLeaseFault;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Model checking of leases: every order of events to a depth, and beyond it random ones from seeds, replayed and shrunk. {@code changing}: the set of voters does. */
public record LeaseExploration(int candidates, boolean disks, boolean changing, PlantedLeaseFault planted) {
    /** States told apart, ways played, and what broke. */
    public record Result(long states, long paths, long maxAcquisitions, String violation) {}

    /** What a random way came to. */
    public record RandomWalk(long seed, int steps, int acquisitions, int overlaps, String violation, List<Move> path) {}

    /** Messages under way that exhaustive search chooses from. */
    private static final int CHOICE = 4;
    /** Of a hundred steps of a random way: deliveries, time, long times, repeats, losses, checks and acts; the rest are troubles. */
    private static final int DELIVER = 80;
    private static final int TIME = 87;
    private static final int LONG = 89;
    private static final int REPEAT = 90;
    private static final int LOSE = 91;
    private static final int CHECK_OR_ACT = 96;

    /**
     * All ways of so many steps, with at most so many troubles, for each of the extreme clocks; {@code large}: in steps that carry all that passes
     * between a candidate and some voters, so that a few of them take, lose and take again.
     */
    public Result searchAll(int depth, int troubles, boolean large) {
        Search search = new Search(depth, troubles, large);
        for (int fast : new int[] {0b00111, 0b11000, 0b00000}) {
            search.fast = fast;
            search.explore(new ArrayList<>(), 0);
        }
        return new Result(search.seen.size(), search.ways, search.takes, search.broken);
    }

    private final class Search {
        final int depth;
        final int troubles;
        final boolean large;
        final Set<String> seen = new HashSet<>();
        int fast;
        long ways;
        long takes;
        String broken;

        Search(int depth, int troubles, boolean large) {
            this.large = large;
            this.depth = depth;
            this.troubles = troubles;
        }

        void explore(List<Move> path, int used) {
            if (broken != null) {
                return;
            }
            LeaseModel world = new LeaseModel(candidates, disks, changing, fast, planted);
            path.forEach(world::play);
            ways++;
            if (world.violation() != null) {
                broken = world.violation() + " after " + path;
                return;
            }
            if (!seen.add(fast + "/" + (depth - path.size()) + "/" + (troubles - used) + "/" + world.state())) {
                return;
            }
            takes = Math.max(takes, world.acquisitions());
            if (path.size() == depth) {
                return;
            }
            for (Move move : large ? world.largeMoves() : world.moves(CHOICE)) {
                boolean trouble = move.kind() != Kind.DELIVER && move.kind() != Kind.ROUND && move.kind() != Kind.TIME && move.kind() != Kind.LONG;
                if (!trouble || used < troubles) {
                    path.add(move);
                    explore(path, used + (trouble ? 1 : 0));
                    path.remove(path.size() - 1);
                }
            }
        }
    }

    /** A way of so many steps, drawn from the seed; then quiet, in which somebody has to hold it again. */
    public RandomWalk walk(long seed, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseModel world = new LeaseModel(candidates, disks, changing, random.nextInt(1 << 3 + candidates), planted);
        List<Move> path = new ArrayList<>();
        for (int i = 0; i < steps && world.violation() == null; i++) {
            Move move = draw(random, world);
            path.add(move);
            world.play(move);
        }
        if (world.violation() == null) {
            world.settle(LeaseModel.settleMs());
        }
        return new RandomWalk(seed, path.size(), world.acquisitions(), world.overlaps(), world.violation(), path);
    }

    private static Move draw(SplittableRandom random, LeaseModel world) {
        int kind = random.nextInt(100);
        int first = world.underWay();
        // Mostly the oldest, at times any: what is an hour late comes, too.
        int letter = first == 0 ? 0 : random.nextInt(4) > 0 ? random.nextInt(Math.min(3, first)) : random.nextInt(first);
        if (kind < DELIVER) {
            return new Move(Kind.DELIVER, letter);
        }
        if (kind < TIME) {
            return new Move(Kind.TIME, 0);
        }
        if (kind < LONG) {
            return new Move(Kind.LONG, 0);
        }
        if (kind < REPEAT) {
            return new Move(Kind.REPEAT, letter);
        }
        if (kind < LOSE) {
            return new Move(Kind.LOSE, letter);
        }
        if (kind < CHECK_OR_ACT) {
            return new Move(random.nextBoolean() ? Kind.CHECK : Kind.ACT, random.nextInt(world.candidates()));
        }
        List<Move> troubles = world.moves(0);
        return troubles.get(random.nextInt(troubles.size()));
    }

    /** The same with as many steps left out as can be while it still breaks. */
    public List<Move> shrink(RandomWalk failed) {
        List<Move> least = new ArrayList<>(failed.path);
        int fast = new SplittableRandom(failed.seed).nextInt(1 << 3 + candidates);
        for (int size = Math.max(1, least.size() / 2); size >= 1; size /= 2) {
            for (int from = 0; from + size <= least.size();) {
                List<Move> fewer = new ArrayList<>(least);
                fewer.subList(from, from + size).clear();
                if (breaks(fewer, fast)) {
                    least = fewer;
                } else {
                    from += size;
                }
            }
        }
        return least;
    }

    private boolean breaks(List<Move> path, int fast) {
        LeaseModel world = new LeaseModel(candidates, disks, changing, fast, planted);
        for (Move move : path) {
            world.play(move);
            if (world.violation() != null) {
                return true;
            }
        }
        world.settle(LeaseModel.settleMs());
        return world.violation() != null;
    }
}
