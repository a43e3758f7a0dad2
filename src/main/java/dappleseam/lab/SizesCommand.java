package dappleseam.lab;

import dappleseam.lab.fleet.MembershipMeasurement;
import dappleseam.lab.fleet.SimulatedFleet.Module;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures in simulated time the cost and detection times of membership by fleet size, compared with baselines. */
@Command(name = "sizes", mixinStandardHelpOptions = true, description = "Measure membership by fleet size in simulated time.")
final class SizesCommand implements Callable<Integer> {
    @Option(names = "--members", split = ",", defaultValue = "10,100,1000", description = "Fleet sizes (default: 10,100,1000).")
    private List<Integer> members;

    @Option(names = "--modules", split = ",", defaultValue = "SHIPPED,WITHOUT_LOCAL_HEALTH,PLAIN,HEARTBEATS", description = "Variants of membership to measure: ${COMPLETION-CANDIDATES}.")
    private List<Module> modules;

    @Option(names = "--runs", defaultValue = "5", description = "Number of seeds for each measurement (default: 5).")
    private int runs;

    @Option(names = "--minutes", defaultValue = "10", description = "Simulated minutes over which false failures are counted (default: 10).")
    private double minutes;

    @Option(names = "--deaths", defaultValue = "5", description = "Number of members that die one after the other (default: 5).")
    private int deaths;

    @Option(names = "--together", defaultValue = "0.5", description = "Share of the members that die at the same instant (default: 0.5).")
    private double together;

    @Option(names = "--running-ms", defaultValue = "8000", description = "How long members that stall repeatedly run between two stalls of 4 s (default: 8000).")
    private double runningMs;

    @Option(names = "--only", description = "Run only one part: deaths, together, false or heal.")
    private String only;

    @Override
    public Integer call() {
        for (int size : members) {
            for (Module module : modules) {
                MembershipMeasurement measurement = new MembershipMeasurement(module, size, runs, runningMs);
                if (only == null || only.equals("deaths")) {
                    System.out.println(measurement.singleDeaths(deaths));
                }
                if (only == null || only.equals("together")) {
                    System.out.println(measurement.simultaneousDeaths(together));
                }
                if (only == null || only.equals("heal")) {
                    System.out.println(measurement.partitionHealing());
                }
                if (only == null || only.equals("false")) {
                    for (double loss : new double[] {0, 0.1, 0.3}) {
                        System.out.println(measurement.falseFailures(loss, 0, minutes));
                    }
                    for (double loss : new double[] {0, 0.1, 0.3}) {
                        System.out.println(measurement.falseFailures(loss, 0.1, minutes));
                    }
                }
            }
        }
        return 0;
    }
}
