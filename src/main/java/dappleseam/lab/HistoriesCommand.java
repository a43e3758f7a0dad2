package dappleseam.lab;

import dappleseam.lab.fleet.History;
import dappleseam.lab.fleet.Planted;
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
    private static final int MOST_SHRUNK = 5;

    @Option(names = "--from", defaultValue = "1", description = "First seed (default: 1).")
    private long from;

    @Option(names = "--seeds", defaultValue = "1000", description = "Number of seeds (default: 1000).")
    private int seeds;

    @Option(names = "--members", defaultValue = "6", description = "Members in each fleet (default: 6).")
    private int members;

    @Option(names = "--steps", defaultValue = "8", description = "Faults in each history (default: 8).")
    private int steps;

    @Option(names = "--planted", defaultValue = "NONE", description = "Protection to disable: ${COMPLETION-CANDIDATES}.")
    private Planted planted;

    @Option(names = "--shares", description = "Also vary the traffic and check the members' shares of the fleet's limits.")
    private boolean shares;

    @Override
    public Integer call() {
        ConcurrentSkipListSet<Long> failing = new ConcurrentSkipListSet<>();
        Map<Long, History.Taken> taken = new ConcurrentSkipListMap<>();
        Queue<Double> agreed = new ConcurrentLinkedQueue<>();
        LongStream.range(from, from + seeds).parallel().forEach(seed -> {
            History.Verdict verdict = draw(seed).play(planted);
            taken.put(seed, verdict.taken());
            if (!verdict.breaches().isEmpty()) {
                failing.add(seed);
            }
            agreed.add(verdict.agreedMs());
        });
        double[] sorted = agreed.stream().mapToDouble(d -> d).sorted().toArray();
        System.out.printf("%d histories of %d members and %d faults, seeds %d to %d, planted %s: %d violate a guarantee%n", seeds, members, steps, from,
                from + seeds - 1, planted, failing.size());
        System.out.printf("time from the last fault until all views were correct: median %.1f s, p99 %.1f s, maximum %.1f s%n", at(sorted, 0.5), at(sorted, 0.99),
                at(sorted, 1));
        if (shares) {
            tell(taken);
        }
        for (long seed : List.copyOf(failing).subList(0, Math.min(MOST_SHRUNK, failing.size()))) {
            History least = draw(seed).shrink(planted);
            System.out.printf("seed %d: %s%n", seed, least.play(planted).breaches().get(0));
            least.steps().forEach(step -> System.out.println("    " + step));
        }
        return failing.isEmpty() ? 0 : 1;
    }

    private History draw(long seed) {
        History drawn = History.draw(seed, members, steps);
        return shares ? drawn.withShares() : drawn;
    }

    private static void tell(Map<Long, History.Taken> taken) {
        double[] most = taken.values().stream().mapToDouble(History.Taken::most).sorted().toArray();
        Map.Entry<Long, History.Taken> worst = taken.entrySet().stream().max(Comparator.comparingDouble(e -> e.getValue().most())).orElseThrow();
        System.out.printf("highest sum of all shares: median %.3f, p99 %.3f, maximum %.3f (seed %d, at %.1f s); sum at the end: %.3f to %.3f; smallest share: %.2f of an even one%n",
                most[most.length / 2], most[(int) Math.ceil(0.99 * most.length) - 1], worst.getValue().most(), worst.getKey(), worst.getValue().mostAtMs() / 1000,
                taken.values().stream().mapToDouble(History.Taken::last).min().orElse(0), taken.values().stream().mapToDouble(History.Taken::last).max().orElse(0),
                taken.values().stream().mapToDouble(History.Taken::least).min().orElse(0));
    }

    /** The value in s at that share of the sorted values in ms; NaN stands for a history that never agreed and counts only for the maximum. */
    private static double at(double[] sorted, double share) {
        double[] numbers = Arrays.stream(sorted).filter(d -> !Double.isNaN(d)).toArray();
        return numbers.length < sorted.length && share == 1 || numbers.length == 0 ? Double.NaN
                : numbers[(int) Math.min(numbers.length - 1, Math.ceil(share * numbers.length) - 1)] / 1000;
    }
}
