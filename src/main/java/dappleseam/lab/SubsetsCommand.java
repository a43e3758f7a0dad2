package dappleseam.lab;

import dappleseam.lab.fleet.SubsetMeasurement;
import dappleseam.lab.fleet.SubsetMeasurement.Result;
import dappleseam.lab.fleet.SubsetMeasurement.Strategy;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** How evenly proxies spread over the copies of a hot key, and how many move as one comes or goes, beside baselines. */
@Command(name = "subsets", mixinStandardHelpOptions = true, description = "Measure how proxies spread over the copies of a hot key.")
final class SubsetsCommand implements Callable<Integer> {
    @Option(names = "--proxies", split = ",", defaultValue = "100,1000", description = "Sizes (default: 100,1000).")
    private List<Integer> proxies;

    @Option(names = "--copies", defaultValue = "8", description = "Copies of the key (default: 8).")
    private int copies;

    @Option(names = "--locations", defaultValue = "1", description = "Locations that proxies are spread over, each with so many copies of its own (default: 1).")
    private int locations;

    @Option(names = "--seeds", defaultValue = "200", description = "Draws of traffic (default: 200).")
    private int seeds;

    @Override
    public Integer call() {
        for (int count : proxies) {
            for (Strategy way : Strategy.values()) {
                List<Result> found = LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> new SubsetMeasurement(count, locations, copies, seed).measure(way)).toList();
                System.out.printf("%5d proxies, %d copies, %-13s busiest copy over the mean: median %.3f, most %.3f; at the worst location median %.3f; by proxies, most %.3f; moved by one more or less: %.1f, most %.1f%n", count, copies, way,
                        at(found.stream().mapToDouble(Result::peak).toArray(), 0.5), at(found.stream().mapToDouble(Result::peak).toArray(), 1),
                        at(found.stream().mapToDouble(Result::locationPeak).toArray(), 0.5),
                        at(found.stream().mapToDouble(Result::proxyCountPeak).toArray(), 1), found.stream().mapToDouble(Result::moved).average().orElse(0),
                        at(found.stream().mapToDouble(Result::moved).toArray(), 1));
            }
        }
        return 0;
    }

    private static double at(double[] values, double share) {
        double[] sorted = Arrays.stream(values).sorted().toArray();
        return sorted[(int) Math.max(0, Math.ceil(share * sorted.length) - 1)];
    }
}
