package dappleseam.lab;

import dappleseam.lab.emulator.LargeFleet.ChurnPattern;
import dappleseam.lab.growth.ScalingBenchmark;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures with real processes what a proxy needs depending on the number of caches, and compares it with the acceptance bounds. */
@Command(name = "growth", mixinStandardHelpOptions = true, description = "Measure one proxy with 200 and with 3,200 caches; exit status 1 if a bound is exceeded.")
final class GrowthCommand implements Callable<Integer> {
    @Option(names = "--usual", defaultValue = "200", description = "Number of caches of the usual fleet (default: 200).")
    private int usual;

    @Option(names = "--large", defaultValue = "3200", description = "Number of caches of the large fleet (default: 3200).")
    private int large;

    @Option(names = "--days", split = ",", defaultValue = "CALM,ROLLING_REPLACEMENT,ZONE_LOST,WHOLE_LISTS", description = "Patterns of change to run: ${COMPLETION-CANDIDATES}.")
    private List<ChurnPattern> days;

    @Option(names = "--seconds", defaultValue = "30", description = "Length of each run in seconds (default: 30).")
    private double seconds;

    @Option(names = "--per-second", defaultValue = "40", description = "Queries per second (default: 40).")
    private double perSecond;

    @Option(names = "--serve", defaultValue = "exec sh deploy/serve.sh", description = "Shell command that starts a proxy.")
    private String serve;

    @Override
    public Integer call() throws Exception {
        Path workFolder = Files.createTempDirectory("dappleseam-growth");
        ScalingBenchmark benchmark = new ScalingBenchmark(serve, workFolder, seconds, perSecond);
        boolean isOver = false;
        for (ChurnPattern pattern : days) {
            ScalingBenchmark.Comparison comparison = ScalingBenchmark.compare(pattern, large, benchmark.measure(pattern, usual), benchmark.measure(pattern, large));
            System.out.print(comparison.table());
            isOver |= comparison.isOver();
        }
        return isOver ? 1 : 0;
    }
}
