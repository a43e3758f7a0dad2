package dappleseam.lab.fleet;

import dappleseam.lab.fleet.LeaseModel.Kind;
import dappleseam.lab.fleet.LeaseModel.Move;
import dappleseam.lab.fleet.LeaseModel.PlantedLeaseFault;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Model checking of leases: all orders of events up to a depth, and longer random walks, which are determined by their seed and can be shrunk.
 * {@code disks}: voters have disks; {@code changing}: the set of voters changes.
 */
public record LeaseExploration(int candidates, boolean disks, boolean changing, PlantedLeaseFault planted) {
    /** The number of distinct states and of paths played, the most acquisitions on one path, and the first violation, or null. */
    public record Result(long states, long paths, long maxAcquisitions, String violation) {}

    /** The result of a random walk; {@code violation} is null if there was none. */
    public record RandomWalk(long seed, int steps, int acquisitions, int overlaps, String violation, List<Move> path) {}

    /** The exhaustive search considers this many of the oldest messages in flight. */
    private static final int MAX_CHOICES = 4;
    /** Cumulative percentages of the moves in a random walk: deliveries, time, long times, repeats, losses, checks and acts; the rest are mostly faults. */
    private static final int DELIVER = 80;
    private static final int TIME = 87;
    private static final int LONG = 89;
    private static final int REPEAT = 90;
    private static final int LOSE = 91;
    private static final int CHECK_OR_ACT = 96;

    /**
     * Plays all paths of up to {@code depth} moves with at most {@code maxFaults} faults, for each of the extreme combinations of clock rates. With
     * {@code coarse}, one move delivers all messages between a candidate and some voters, so that a few moves suffice to acquire, lose and reacquire the
     * lease.
     */
    public Result searchAll(int depth, int maxFaults, boolean coarse) {
        Search search = new Search(depth, maxFaults, coarse);
        for (int fastClocks : new int[] {0b00111, 0b11000, 0b00000}) {
            search.fastClocks = fastClocks;
            search.explore(new ArrayList<>(), 0);
        }
        return new Result(search.visited.size(), search.paths, search.maxAcquisitions, search.violation);
    }

    private final class Search {
        final int depth;
        final int maxFaults;
        final boolean coarse;
        final Set<String> visited = new HashSet<>();
        int fastClocks;
        long paths;
        long maxAcquisitions;
        String violation;

        Search(int depth, int maxFaults, boolean coarse) {
            this.coarse = coarse;
            this.depth = depth;
            this.maxFaults = maxFaults;
        }

        void explore(List<Move> path, int faultsUsed) {
            if (violation != null) {
                return;
            }
            LeaseModel model = new LeaseModel(candidates, disks, changing, fastClocks, planted);
            path.forEach(model::play);
            paths++;
            if (model.violation() != null) {
                violation = model.violation() + " after " + path;
                return;
            }
            if (!visited.add(fastClocks + "/" + (depth - path.size()) + "/" + (maxFaults - faultsUsed) + "/" + model.state())) {
                return;
            }
            maxAcquisitions = Math.max(maxAcquisitions, model.acquisitions());
            if (path.size() == depth) {
                return;
            }
            for (Move move : coarse ? model.coarseMoves() : model.moves(MAX_CHOICES)) {
                boolean isFault = move.kind() != Kind.DELIVER && move.kind() != Kind.ROUND && move.kind() != Kind.TIME && move.kind() != Kind.LONG;
                if (!isFault || faultsUsed < maxFaults) {
                    path.add(move);
                    explore(path, faultsUsed + (isFault ? 1 : 0));
                    path.remove(path.size() - 1);
                }
            }
        }
    }

    /** Plays a random walk of up to {@code steps} moves drawn from the seed, then a phase without faults in which a candidate has to hold the lease again. */
    public RandomWalk walk(long seed, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseModel model = new LeaseModel(candidates, disks, changing, random.nextInt(1 << 3 + candidates), planted);
        List<Move> path = new ArrayList<>();
        for (int i = 0; i < steps && model.violation() == null; i++) {
            Move move = drawMove(random, model);
            path.add(move);
            model.play(move);
        }
        if (model.violation() == null) {
            model.settle(LeaseModel.settleMs());
        }
        return new RandomWalk(seed, path.size(), model.acquisitions(), model.overlaps(), model.violation(), path);
    }

    private static Move drawMove(SplittableRandom random, LeaseModel model) {
        int kind = random.nextInt(100);
        int messageCount = model.inFlight();
        // Mostly one of the oldest, sometimes any: very late messages have to occur, too.
        int message = messageCount == 0 ? 0 : random.nextInt(4) > 0 ? random.nextInt(Math.min(3, messageCount)) : random.nextInt(messageCount);
        if (kind < DELIVER) {
            return new Move(Kind.DELIVER, message);
        }
        if (kind < TIME) {
            return new Move(Kind.TIME, 0);
        }
        if (kind < LONG) {
            return new Move(Kind.LONG, 0);
        }
        if (kind < REPEAT) {
            return new Move(Kind.REPEAT, message);
        }
        if (kind < LOSE) {
            return new Move(Kind.LOSE, message);
        }
        if (kind < CHECK_OR_ACT) {
            return new Move(random.nextBoolean() ? Kind.CHECK : Kind.ACT, random.nextInt(model.candidates()));
        }
        List<Move> others = model.moves(0);
        return others.get(random.nextInt(others.size()));
    }

    /** Removes as many moves from a failed walk as possible while it still fails. */
    public List<Move> shrink(RandomWalk failed) {
        List<Move> shortest = new ArrayList<>(failed.path);
        int fastClocks = new SplittableRandom(failed.seed).nextInt(1 << 3 + candidates);
        for (int size = Math.max(1, shortest.size() / 2); size >= 1; size /= 2) {
            for (int from = 0; from + size <= shortest.size();) {
                List<Move> shortened = new ArrayList<>(shortest);
                shortened.subList(from, from + size).clear();
                if (fails(shortened, fastClocks)) {
                    shortest = shortened;
                } else {
                    from += size;
                }
            }
        }
        return shortest;
    }

    private boolean fails(List<Move> path, int fastClocks) {
        LeaseModel model = new LeaseModel(candidates, disks, changing, fastClocks, planted);
        for (Move move : path) {
            model.play(move);
            if (model.violation() != null) {
                return true;
            }
        }
        model.settle(LeaseModel.settleMs());
        return model.violation() != null;
    }
}
