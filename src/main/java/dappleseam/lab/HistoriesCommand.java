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

/** Many drawn histories of a fleet in simulated time; a seed that fails is replayed by itself, and shrunk. */
@Command(name = "histories", mixinStandardHelpOptions = true, description = "Play drawn histories of a fleet in simulated time; status 1 where one breaks a promise.")
final class HistoriesCommand implements Callable<Integer> {
    private static final int MOST_SHRUNK = 5;

    @Option(names = "--from", defaultValue = "1", description = "First seed (default: 1).")
    private long from;

    @Option(names = "--seeds", defaultValue = "1000", description = "How many (default: 1000).")
    private int seeds;

    @Option(names = "--members", defaultValue = "6", description = "Members of each fleet (default: 6).")
    private int members;

    @Option(names = "--steps", defaultValue = "8", description = "Troubles in each history (default: 8).")
    private int steps;

    @Option(names = "--planted", defaultValue = "NONE", description = "A defence that is taken out: ${COMPLETION-CANDIDATES}.")
    private PlantedFault planted;

    @Option(names = "--shares", description = "Traffic goes up and down meanwhile, and shares of the whole are watched.")
    private boolean shares;

    @Override
    public Integer call() {
        ConcurrentSkipListSet<Long> failing = new ConcurrentSkipListSet<>();
        Map<Long, FaultHistory.ShareTotals> taken = new ConcurrentSkipListMap<>();
        Queue<Double> agreed = new ConcurrentLinkedQueue<>();
        LongStream.range(from, from + seeds).parallel().forEach(seed -> {
            FaultHistory.Outcome verdict = draw(seed).play(planted);
            taken.put(seed, verdict.shareTotals());
            if (!verdict.breaches().isEmpty()) {
                failing.add(seed);
            }
            agreed.add(verdict.agreedMs());
        });
        double[] sorted = agreed.stream().mapToDouble(d -> d).sorted().toArray();
        System.out.printf("%d histories of %d members and %d troubles, seeds %d to %d, planted %s: %d break a promise%n", seeds, members, steps, from,
                from + seeds - 1, planted, failing.size());
        System.out.printf("all views right after the last trouble: median %.1f s, 99 of 100 %.1f s, most %.1f s%n", at(sorted, 0.5), at(sorted, 0.99),
                at(sorted, 1));
        if (shares) {
            tell(taken);
        }
        for (long seed : List.copyOf(failing).subList(0, Math.min(MOST_SHRUNK, failing.size()))) {
            FaultHistory least = draw(seed).shrink(planted);
            System.out.printf("seed %d: %s%n", seed, least.play(planted).breaches().get(0));
            least.steps().forEach(step -> System.out.println("    " + step));
        }
        return failing.isEmpty() ? 0 : 1;
    }

    private FaultHistory draw(long seed) {
        FaultHistory drawn = FaultHistory.generate(seed, members, steps);
        return shares ? drawn.withShares() : drawn;
    }

    private static void tell(Map<Long, FaultHistory.ShareTotals> taken) {
        double[] most = taken.values().stream().mapToDouble(FaultHistory.ShareTotals::highest).sorted().toArray();
        Map.Entry<Long, FaultHistory.ShareTotals> worst = taken.entrySet().stream().max(Comparator.comparingDouble(e -> e.getValue().highest())).orElseThrow();
        System.out.printf("all together took at most: median %.3f of the whole, 99 of 100 %.3f, most %.3f (seed %d, at %.1f s); at the end: %.3f to %.3f; the least share %.2f of an even one%n",
                most[most.length / 2], most[(int) Math.ceil(0.99 * most.length) - 1], worst.getValue().highest(), worst.getKey(), worst.getValue().highestAtMs() / 1000,
                taken.values().stream().mapToDouble(FaultHistory.ShareTotals::atEnd).min().orElse(0), taken.values().stream().mapToDouble(FaultHistory.ShareTotals::atEnd).max().orElse(0),
                taken.values().stream().mapToDouble(FaultHistory.ShareTotals::lowestShare).min().orElse(0));
    }

    private static double at(double[] sorted, double share) {
        double[] numbers = Arrays.stream(sorted).filter(d -> !Double.isNaN(d)).toArray();
        return numbers.length < sorted.length && share == 1 || numbers.length == 0 ? Double.NaN
                : numbers[(int) Math.min(numbers.length - 1, Math.ceil(share * numbers.length) - 1)] / 1000;
    }
}
