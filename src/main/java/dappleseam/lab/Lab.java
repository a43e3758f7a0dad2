package dappleseam.lab;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.RuleChecker;
import dappleseam.lab.check.RuleChecker.Breach;
import dappleseam.lab.emulator.EmulatedServices;
import dappleseam.lab.fault.ConnectionFaultInjector;
import dappleseam.lab.fleet.PlantedFault;
import dappleseam.lab.load.LoadGenerator;
import dappleseam.lab.proxies.PortAllocator;
import dappleseam.lab.proxies.ProxyProcess;
import dappleseam.lab.report.FleetReport;
import dappleseam.lab.report.Report;
import dappleseam.lab.report.RunReport;
import dappleseam.lab.scenario.InvalidScenarioException;
import dappleseam.lab.scenario.FleetScenario;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.ConnectionFault;
import dappleseam.lab.scenario.Scenario.FaultLocation;
import dappleseam.lab.scenario.ScenarioReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code lab} command and its sub-commands, which test real proxies and simulated fleets under faults. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Run proxies against emulated services under faults, and simulate fleets.",
        subcommands = {Lab.Run.class, Lab.FleetRunCommand.class, HistoriesCommand.class, SizesCommand.class, ExploreCommand.class, LeasesCommand.class, SubsetsCommand.class, GrowthCommand.class}, synopsisSubcommandLabel = "COMMAND")
public final class Lab implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("dappleseam lab: missing sub-command: run, fleet, histories, sizes, explore, leases, subsets or growth");
        return 2;
    }

    /** A command that runs one scenario: its common options, and how the result becomes a report and an exit status. */
    abstract static class ScenarioCommand<S, R extends RunReport> implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "The scenario file.")
        protected Path file;

        @Option(names = "--serve", defaultValue = "exec sh deploy/serve.sh", description = "Shell command that starts a proxy.")
        protected String serve;

        @Option(names = "--json", description = "File to which the report is also written as JSON.")
        protected Path json;

        @Option(names = "--folder", description = "Folder for the proxies' files and logs (default: a new temporary folder).")
        protected Path folder;

        abstract S read() throws IOException;

        abstract R runScenario(S scenario, Path workFolder) throws IOException, InterruptedException;

        /** Hook for further output made from the report. */
        void afterReport(R report) throws IOException {
            // none by default
        }

        @Override
        public final Integer call() throws Exception {
            S scenario;
            try {
                scenario = read();
            } catch (InvalidScenarioException | IOException e) {
                System.err.println("dappleseam lab: " + e.getMessage());
                return 2;
            }
            Path workFolder = folder == null ? Files.createTempDirectory("dappleseam-lab") : Files.createDirectories(folder);
            R report;
            try {
                report = runScenario(scenario, workFolder);
            } catch (IOException e) {
                System.err.println("dappleseam lab: " + e.getMessage() + "; logs are in " + workFolder);
                return 2;
            }
            System.out.print(report.text());
            if (json != null) {
                Files.writeString(json, report.json());
            }
            afterReport(report);
            return report.exitStatus();
        }
    }

    /** Runs one scenario from start to end. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Run a scenario; exit status 1 if a rule is broken, 3 if that cannot be decided.")
    static final class Run extends ScenarioCommand<Scenario, Report> {
        @Option(names = "--proxies", defaultValue = "1", description = "Number of proxies that run side by side (default: 1).")
        private int proxies;

        @Override
        Scenario read() throws IOException {
            return ScenarioReader.read(file);
        }

        @Override
        Report runScenario(Scenario scenario, Path workFolder) throws IOException, InterruptedException {
            return Lab.runScenario(scenario, serve, proxies, workFolder);
        }
    }

    /** Runs one scenario of many proxies from start to end. */
    @Command(name = "fleet", mixinStandardHelpOptions = true, description = "Run a scenario of many proxies; exit status 1 if a guarantee is violated, 3 if that cannot be decided.")
    static final class FleetRunCommand extends ScenarioCommand<FleetScenario, FleetReport> {
        @Option(names = "--plot", description = "PNG file for a chart of the share of correct views over time.")
        private Path plot;

        @Option(names = "--planted", defaultValue = "NONE", description = "Protection to disable: ${COMPLETION-CANDIDATES}.")
        private PlantedFault planted;

        @Option(names = "--alone", description = "Run the proxies without a fleet, to compare the cost.")
        private boolean alone;

        @Override
        FleetScenario read() throws IOException {
            return ScenarioReader.readFleet(file);
        }

        @Override
        FleetReport runScenario(FleetScenario scenario, Path workFolder) throws IOException, InterruptedException {
            try (FleetRun run = new FleetRun(scenario, serve, workFolder, planted, alone)) {
                Runtime.getRuntime().addShutdownHook(new Thread(run::killAll)); // also on Ctrl-C
                return run.runScenario();
            }
        }

        @Override
        void afterReport(FleetReport report) throws IOException {
            if (plot != null) {
                report.plot(plot);
            }
        }
    }

    /** Runs a scenario with emulated services, fault injectors, proxies and load; all of them are stopped when it returns. */
    static Report runScenario(Scenario scenario, String serve, int proxies, Path workFolder) throws IOException, InterruptedException {
        Ledger ledger = new Ledger();
        List<ProxyProcess> started = new ArrayList<>();
        List<ConnectionFaultInjector> clientFaultInjectors = new ArrayList<>();
        List<ConnectionFault> clientFaults = scenario.faults().stream().filter(f -> f.location() == FaultLocation.CLIENTS).toList();
        try (EmulatedServices services = new EmulatedServices(scenario, ledger); PortAllocator portAllocator = new PortAllocator()) {
            for (int i = 0; i < proxies; i++) {
                started.add(new ProxyProcess(serve, workFolder.resolve("proxy-" + i), ProxyProcess.config(scenario, services, proxies, i, portAllocator.allocate())));
            }
            List<Integer> ports = new ArrayList<>();
            for (ProxyProcess proxy : started) {
                proxy.awaitReady();
                if (clientFaults.isEmpty()) {
                    ports.add(proxy.port());
                } else {
                    clientFaultInjectors.add(new ConnectionFaultInjector(proxy.port(), clientFaults, scenario.seed() + ports.size()));
                    ports.add(clientFaultInjectors.get(ports.size()).port());
                }
            }
            LoadGenerator load = new LoadGenerator(scenario, ledger, ports);
            LatenessMonitor latenessMonitor = new LatenessMonitor(ledger);
            latenessMonitor.start();
            services.startIncidents();
            load.generate();
            latenessMonitor.interrupt();
            for (ProxyProcess proxy : started) {
                boolean alive = proxy.isAlive();
                if (!alive || !proxy.stop()) {
                    ledger.notes.add(alive ? "a proxy did not exit on SIGTERM" : "a proxy crashed: the run is incomplete");
                }
            }
            List<ConnectionFaultInjector> injectors = new ArrayList<>(services.faultInjectors());
            injectors.addAll(clientFaultInjectors);
            List<Breach> breaches = RuleChecker.check(scenario, ledger, !clientFaults.isEmpty());
            int planned = injectors.stream().mapToInt(t -> t.plannedFaults().size()).sum();
            return new Report(scenario, ledger, load, breaches, planned, countOpenConnections(injectors));
        } finally {
            started.forEach(ProxyProcess::close);
            for (ConnectionFaultInjector injector : clientFaultInjectors) {
                injector.close();
            }
        }
    }

    /** Connections that are still open up to 1 s after all proxies and clients have ended. */
    private static int countOpenConnections(List<ConnectionFaultInjector> injectors) throws InterruptedException {
        for (int i = 0; i < 50 && injectors.stream().anyMatch(t -> t.openSockets() > 0); i++) {
            Thread.sleep(20);
        }
        return injectors.stream().mapToInt(ConnectionFaultInjector::openSockets).sum();
    }
}
