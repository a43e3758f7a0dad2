package dappleseam.lab;

import dappleseam.lab.fleet.FaultHistory;
import dappleseam.lab.fleet.PlantedFault;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs many randomly generated fault histories of a fleet in simulated time. A failing seed is replayed on its own and shrunk. */
@Command(name = "histories", mixinStandardHelpOptions = true, description = "Run random fault histories of a fleet in simulated time; exit status 1 if a guarantee is violated.")
final class HistoriesCommand implements Callable<Integer> {
    private static final int MAX_SHRUNK = 5;

    @Option(names = "--from", defaultValue = "1", description = "First seed (default: 1).")
    private long from;

    @Option(names = "--seeds", defaultValue = "1000", description = "Number of seeds (default: 1000).")
    private int seeds;

    @Option(names = "--members", defaultValue = "6", description = "Members in each fleet (default: 6).")
    private int members;

    @Option(names = "--steps", defaultValue = "8", description = "Faults in each history (default: 8).")
    private int steps;

    @Option(names = "--planted", defaultValue = "NONE", description = "Protection to disable: ${COMPLETION-CANDIDATES}.")
    private PlantedFault planted;

    @Option(names = "--shares", description = "Also vary the traffic and check the members' shares of the fleet's limits.")
    private boolean shares;

    @Override
    public Integer call() {
        ConcurrentSkipListSet<Long> failing = new ConcurrentSkipListSet<>();
        Map<Long, FaultHistory.ShareTotals> shareTotals = new ConcurrentSkipListMap<>();
        Queue<Double> agreed = new ConcurrentLinkedQueue<>();
        LongStream.range(from, from + seeds).parallel().forEach(seed -> {
            FaultHistory.Outcome outcome = generateHistory(seed).play(planted);
            shareTotals.put(seed, outcome.shareTotals());
            if (!outcome.breaches().isEmpty()) {
                failing.add(seed);
            }
            agreed.add(outcome.agreedMs());
        });
        double[] sorted = agreed.stream().mapToDouble(d -> d).sorted().toArray();
        System.out.printf("%d histories of %d members and %d faults, seeds %d to %d, planted %s: %d violate a guarantee%n", seeds, members, steps, from,
                from + seeds - 1, planted, failing.size());
        System.out.printf("time from the last fault until all views were correct: median %.1f s, p99 %.1f s, maximum %.1f s%n", percentileS(sorted, 0.5), percentileS(sorted, 0.99),
                percentileS(sorted, 1));
        if (shares) {
            printShares(shareTotals);
        }
        for (long seed : List.copyOf(failing).subList(0, Math.min(MAX_SHRUNK, failing.size()))) {
            FaultHistory shrunk = generateHistory(seed).shrink(planted);
            System.out.printf("seed %d: %s%n", seed, shrunk.play(planted).breaches().get(0));
            shrunk.steps().forEach(step -> System.out.println("    " + step));
        }
        return failing.isEmpty() ? 0 : 1;
    }

    private FaultHistory generateHistory(long seed) {
        FaultHistory history = FaultHistory.generate(seed, members, steps);
        return shares ? history.withShares() : history;
    }

    private static void printShares(Map<Long, FaultHistory.ShareTotals> shareTotals) {
        double[] most = shareTotals.values().stream().mapToDouble(FaultHistory.ShareTotals::highest).sorted().toArray();
        Map.Entry<Long, FaultHistory.ShareTotals> worst = shareTotals.entrySet().stream().max(Comparator.comparingDouble(e -> e.getValue().highest())).orElseThrow();
        System.out.printf("highest sum of all shares: median %.3f, p99 %.3f, maximum %.3f (seed %d, at %.1f s); sum at the end: %.3f to %.3f; smallest share: %.2f of an even one%n",
                most[most.length / 2], most[(int) Math.ceil(0.99 * most.length) - 1], worst.getValue().highest(), worst.getKey(), worst.getValue().highestAtMs() / 1000,
                shareTotals.values().stream().mapToDouble(FaultHistory.ShareTotals::atEnd).min().orElse(0), shareTotals.values().stream().mapToDouble(FaultHistory.ShareTotals::atEnd).max().orElse(0),
                shareTotals.values().stream().mapToDouble(FaultHistory.ShareTotals::lowestShare).min().orElse(0));
    }

    /** The value in s at that share of the sorted values in ms; NaN stands for a history that never agreed and counts only for the maximum. */
    private static double percentileS(double[] sorted, double share) {
        double[] numbers = Arrays.stream(sorted).filter(d -> !Double.isNaN(d)).toArray();
        return numbers.length < sorted.length && share == 1 || numbers.length == 0 ? Double.NaN
                : numbers[(int) Math.min(numbers.length - 1, Math.ceil(share * numbers.length) - 1)] / 1000;
    }
}
