package dappleseam.lab;

import dappleseam.lab.emulator.LargeFleet.Day;
import dappleseam.lab.growth.Growth;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What a proxy needs by the size of the fleet, on real processes, beside the bounds of the acceptance. */
@Command(name = "growth", mixinStandardHelpOptions = true, description = "Measure one proxy beside 200 and 3,200 caches; status 1 where a bound is passed.")
final class GrowthCommand implements Callable<Integer> {
    @Option(names = "--usual", defaultValue = "200", description = "Caches of the usual fleet (default: 200).")
    private int usual;

    @Option(names = "--large", defaultValue = "3200", description = "Caches of the large one (default: 3200).")
    private int large;

    @Option(names = "--days", split = ",", defaultValue = "CALM,ROLLING_REPLACEMENT,ZONE_LOST,WHOLE_LISTS", description = "Which: ${COMPLETION-CANDIDATES}.")
    private List<Day> days;

    @Option(names = "--seconds", defaultValue = "30", description = "Length of a day (default: 30).")
    private double seconds;

    @Option(names = "--per-second", defaultValue = "40", description = "Queries a second (default: 40).")
    private double perSecond;

    @Option(names = "--serve", defaultValue = "exec sh deploy/serve.sh", description = "How a proxy is started.")
    private String serve;

    @Override
    public Integer call() throws Exception {
        Path home = Files.createTempDirectory("dappleseam-growth");
        Growth growth = new Growth(serve, home, seconds, perSecond);
        boolean isOver = false;
        for (Day day : days) {
            Growth.Comparison comparison = Growth.compare(day, large, growth.play(day, usual), growth.play(day, large));
            System.out.print(comparison.table());
            isOver |= comparison.isOver();
        }
        return isOver ? 1 : 0;
    }
}
