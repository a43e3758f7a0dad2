package dappleseam.lab.fleet;

import dappleseam.lab.fleet.LeaseWorld.Kind;
import dappleseam.lab.fleet.LeaseWorld.Move;
import dappleseam.lab.fleet.LeaseWorld.Planted;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Model checking of leases: all orders of events up to a depth, and longer random walks, which are determined by their seed and can be shrunk.
 * {@code disks}: voters have disks; {@code changing}: the set of voters changes.
 */
public record LeaseExploration(int candidates, boolean disks, boolean changing, Planted planted) {
    /** The number of distinct states and of paths played, the most acquisitions on one path, and the first violation, or null. */
    public record Found(long states, long ways, long takes, String broken) {}

    /** The result of a random walk; {@code violation} is null if there was none. */
    public record Walk(long seed, int steps, int takes, int overlaps, String broken, List<Move> path) {}

    /** The exhaustive search considers this many of the oldest messages in flight. */
    private static final int CHOICE = 4;
    /** Cumulative percentages of the moves in a random walk: deliveries, time, long times, repeats, losses, checks and acts; the rest are mostly faults. */
    private static final int DELIVER = 80;
    private static final int TIME = 87;
    private static final int LONG = 89;
    private static final int REPEAT = 90;
    private static final int LOSE = 91;
    private static final int CHECK_OR_ACT = 96;

    /**
     * Plays all paths of up to {@code depth} moves with at most {@code maxFaults} faults, for each of the extreme combinations of clock rates. With {@code coarse}, a move
     * delivers all messages between a candidate and some voters, so that a few moves suffice to acquire, lose and reacquire the lease.
     */
    public Found exhaust(int depth, int troubles, boolean large) {
        Search search = new Search(depth, troubles, large);
        for (int fast : new int[] {0b00111, 0b11000, 0b00000}) {
            search.fast = fast;
            search.explore(new ArrayList<>(), 0);
        }
        return new Found(search.seen.size(), search.ways, search.takes, search.broken);
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
            LeaseWorld world = new LeaseWorld(candidates, disks, changing, fast, planted);
            path.forEach(world::play);
            ways++;
            if (world.broken() != null) {
                broken = world.broken() + " after " + path;
                return;
            }
            if (!seen.add(fast + "/" + (depth - path.size()) + "/" + (troubles - used) + "/" + world.state())) {
                return;
            }
            takes = Math.max(takes, world.takes());
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

    /** Plays a random walk of up to {@code steps} moves drawn from the seed, then a phase without faults in which a candidate has to hold the lease again. */
    public Walk walk(long seed, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseWorld world = new LeaseWorld(candidates, disks, changing, random.nextInt(1 << 3 + candidates), planted);
        List<Move> path = new ArrayList<>();
        for (int i = 0; i < steps && world.broken() == null; i++) {
            Move move = draw(random, world);
            path.add(move);
            world.play(move);
        }
        if (world.broken() == null) {
            world.settle(LeaseWorld.settleMs());
        }
        return new Walk(seed, path.size(), world.takes(), world.overlaps(), world.broken(), path);
    }

    private static Move draw(SplittableRandom random, LeaseWorld world) {
        int kind = random.nextInt(100);
        int first = world.underWay();
        // Mostly one of the oldest, sometimes any: very late messages have to occur, too.
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

    /** Removes as many moves from a failed walk as possible while it still fails. */
    public List<Move> shrink(Walk failed) {
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
        LeaseWorld world = new LeaseWorld(candidates, disks, changing, fast, planted);
        for (Move move : path) {
            world.play(move);
            if (world.broken() != null) {
                return true;
            }
        }
        world.settle(LeaseWorld.settleMs());
        return world.broken() != null;
    }
}
