package dappleseam.lab;

import dappleseam.lab.fleet.LeaseSimulation;
import dappleseam.lab.fleet.LeaseExploration;
import dappleseam.lab.fleet.LeaseExploration.RandomWalk;
import dappleseam.lab.fleet.LeaseModel.PlantedLeaseFault;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Model-checks the lease protocol, exhaustively to a depth and by random walks. */
@Command(name = "leases", mixinStandardHelpOptions = true, description = "Model-check leases: every order of events to a depth, then random walks; exit status 1 on a violation.")
final class LeasesCommand implements Callable<Integer> {
    @Option(names = "--depth", defaultValue = "5", description = "Depth of the exhaustive search in large steps (default: 5; 0: none).")
    private int depth;

    @Option(names = "--troubles", defaultValue = "1", description = "Maximum number of restarts and other faults in it (default: 1).")
    private int troubles;

    @Option(names = "--from", defaultValue = "1", description = "First seed of the random walks (default: 1).")
    private long from;

    @Option(names = "--seeds", defaultValue = "20000", description = "Number of random walks (default: 20000).")
    private int seeds;

    @Option(names = "--steps", defaultValue = "500", description = "Steps of each random walk (default: 500).")
    private int steps;

    @Option(names = "--candidates", defaultValue = "2", description = "Number of candidates, 1 to 3 (default: 2).")
    private int candidates;

    @Option(names = "--disks", description = "Voters keep their state on disk, and some are restored from old copies.")
    private boolean disks;

    @Option(names = "--changing", description = "The set of voters changes, one voter at a time.")
    private boolean changing;

    @Option(names = "--planted", defaultValue = "NONE", description = "Defect to plant: ${COMPLETION-CANDIDATES}.")
    private PlantedLeaseFault planted;

    @Option(names = "--crowd", split = ",", description = "Instead: simulate that many candidates and measure what they send.")
    private List<Integer> crowd = List.of();

    @Option(names = "--spread", description = "Instead: measure how a thousand leases spread over fifty members, and how many move.")
    private boolean spread;

    private static final int CROWD_DEATHS = 40;

    /** Runs the simulations; exit status 1 if two members held the same lease at once. */
    private int runCrowds() {
        long breaches = 0;
        for (int members : crowd) {
            for (double loss : new double[] {0, 0.1, 0.3}) {
                LeaseSimulation one = new LeaseSimulation(members, 1, loss, from);
                System.out.println(one.measureDeaths(CROWD_DEATHS));
                breaches += one.breaches();
            }
        }
        if (spread) {
            LeaseSimulation many = new LeaseSimulation(50, 1000, 0, from);
            System.out.println(many.measureSpread());
            breaches += many.breaches();
        }
        return breaches > 0 ? 1 : 0;
    }

    @Override
    public Integer call() {
        if (!crowd.isEmpty() || spread) {
            return runCrowds();
        }
        LeaseExploration exploration = new LeaseExploration(candidates, disks, changing, planted);
        boolean broke = false;
        if (depth > 0) {
            LeaseExploration.Result found = exploration.searchAll(depth, troubles, true);
            System.out.printf("depth %d, troubles %d: %d states on %d paths, up to %d acquisitions, %s%n", depth, troubles, found.states(), found.paths(), found.maxAcquisitions(),
                    found.violation() == null ? "no violation" : found.violation());
            broke = found.violation() != null;
        }
        List<RandomWalk> walks = LongStream.range(from, from + seeds).parallel().mapToObj(seed -> exploration.walk(seed, steps)).toList();
        List<RandomWalk> broken = walks.stream().filter(w -> w.violation() != null).toList();
        System.out.printf("%d random walks from seed %d on, %d steps, %d acquisitions, %d overlaps, %d violations%n", seeds, from,
                walks.stream().mapToLong(RandomWalk::steps).sum(), walks.stream().mapToLong(RandomWalk::acquisitions).sum(), walks.stream().mapToLong(RandomWalk::overlaps).sum(), broken.size());
        if (!broken.isEmpty()) {
            System.out.println("seed " + broken.get(0).seed() + ": " + broken.get(0).violation());
            exploration.shrink(broken.get(0)).forEach(move -> System.out.println("    " + move));
        }
        return broke || !broken.isEmpty() ? 1 : 0;
    }
}
