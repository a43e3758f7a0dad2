package dappleseam.lab;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.RuleChecker;
import dappleseam.lab.check.RuleChecker.Breach;
import dappleseam.lab.emulator.Fleet;
import dappleseam.lab.fault.FaultTool;
import dappleseam.lab.fleet.Planted;
import dappleseam.lab.load.LoadTool;
import dappleseam.lab.proxies.Ports;
import dappleseam.lab.proxies.ProxyProcess;
import dappleseam.lab.report.FleetReport;
import dappleseam.lab.report.Report;
import dappleseam.lab.report.Told;
import dappleseam.lab.scenario.FaultyScenarioException;
import dappleseam.lab.scenario.FleetScenario;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Fault;
import dappleseam.lab.scenario.Scenario.Where;
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
        subcommands = {Lab.Run.class, Lab.FleetCommand.class, HistoriesCommand.class, SizesCommand.class, ExploreCommand.class, LeasesCommand.class, SubsetsCommand.class, GrowthCommand.class}, synopsisSubcommandLabel = "COMMAND")
public final class Lab implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("dappleseam lab: missing sub-command: run, fleet, histories, sizes, explore, leases, subsets or growth");
        return 2;
    }

    /** A command that runs one scenario: its common options, and how the result becomes a report and an exit status. */
    abstract static class Rehearsal<S, R extends Told> implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "The scenario file.")
        protected Path file;

        @Option(names = "--serve", defaultValue = "exec sh deploy/serve.sh", description = "Shell command that starts a proxy.")
        protected String serve;

        @Option(names = "--json", description = "File to which the report is also written as JSON.")
        protected Path json;

        @Option(names = "--folder", description = "Folder for the proxies' files and logs (default: a new temporary folder).")
        protected Path folder;

        abstract S read() throws IOException;

        abstract R play(S scenario, Path home) throws IOException, InterruptedException;

        /** Hook for further output made from the report. */
        void more(R report) throws IOException {
            // none by default
        }

        @Override
        public final Integer call() throws Exception {
            S scenario;
            try {
                scenario = read();
            } catch (FaultyScenarioException | IOException e) {
                System.err.println("dappleseam lab: " + e.getMessage());
                return 2;
            }
            Path home = folder == null ? Files.createTempDirectory("dappleseam-lab") : Files.createDirectories(folder);
            R report;
            try {
                report = play(scenario, home);
            } catch (IOException e) {
                System.err.println("dappleseam lab: " + e.getMessage() + "; logs are in " + home);
                return 2;
            }
            System.out.print(report.text());
            if (json != null) {
                Files.writeString(json, report.json());
            }
            more(report);
            return report.status();
        }
    }

    /** Runs one scenario from start to end. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Run a scenario; exit status 1 if a rule is broken, 3 if that cannot be decided.")
    static final class Run extends Rehearsal<Scenario, Report> {
        @Option(names = "--proxies", defaultValue = "1", description = "Number of proxies that run side by side (default: 1).")
        private int proxies;

        @Override
        Scenario read() throws IOException {
            return ScenarioReader.read(file);
        }

        @Override
        Report play(Scenario scenario, Path home) throws IOException, InterruptedException {
            return Lab.play(scenario, serve, proxies, home);
        }
    }

    /** Runs one scenario of many proxies from start to end. */
    @Command(name = "fleet", mixinStandardHelpOptions = true, description = "Run a scenario of many proxies; exit status 1 if a guarantee is violated, 3 if that cannot be decided.")
    static final class FleetCommand extends Rehearsal<FleetScenario, FleetReport> {
        @Option(names = "--plot", description = "PNG file for a chart of the share of correct views over time.")
        private Path plot;

        @Option(names = "--planted", defaultValue = "NONE", description = "Protection to disable: ${COMPLETION-CANDIDATES}.")
        private Planted planted;

        @Option(names = "--alone", description = "Run the proxies without a fleet, to compare the cost.")
        private boolean alone;

        @Override
        FleetScenario read() throws IOException {
            return ScenarioReader.readFleet(file);
        }

        @Override
        FleetReport play(FleetScenario scenario, Path home) throws IOException, InterruptedException {
            try (FleetRun run = new FleetRun(scenario, serve, home, planted, alone)) {
                Runtime.getRuntime().addShutdownHook(new Thread(run::stopAll)); // also on Ctrl-C
                return run.play();
            }
        }

        @Override
        void more(FleetReport report) throws IOException {
            if (plot != null) {
                report.plot(plot);
            }
        }
    }

    /** Runs a scenario with emulated services, fault injectors, proxies and load; all of them are stopped when it returns. */
    static Report play(Scenario scenario, String serve, int proxies, Path home) throws IOException, InterruptedException {
        Ledger ledger = new Ledger();
        List<ProxyProcess> started = new ArrayList<>();
        List<FaultTool> atClients = new ArrayList<>();
        List<Fault> clientFaults = scenario.faults().stream().filter(f -> f.where() == Where.CLIENTS).toList();
        try (Fleet fleet = new Fleet(scenario, ledger); Ports free = new Ports()) {
            for (int i = 0; i < proxies; i++) {
                started.add(new ProxyProcess(serve, home.resolve("proxy-" + i), ProxyProcess.config(scenario, fleet, proxies, i, free.take())));
            }
            List<Integer> ports = new ArrayList<>();
            for (ProxyProcess proxy : started) {
                proxy.awaitReady();
                if (clientFaults.isEmpty()) {
                    ports.add(proxy.port());
                } else {
                    atClients.add(new FaultTool(proxy.port(), clientFaults, scenario.seed() + ports.size()));
                    ports.add(atClients.get(ports.size()).port());
                }
            }
            LoadTool load = new LoadTool(scenario, ledger, ports);
            Metronome metronome = new Metronome(ledger);
            metronome.start();
            fleet.begin();
            load.play();
            metronome.interrupt();
            for (ProxyProcess proxy : started) {
                boolean alive = proxy.isAlive();
                if (!alive || !proxy.end()) {
                    ledger.notes.add(alive ? "a proxy did not exit on SIGTERM" : "a proxy crashed: the run is incomplete");
                }
            }
            List<FaultTool> tools = new ArrayList<>(fleet.tools());
            tools.addAll(atClients);
            List<Breach> breaches = RuleChecker.check(scenario, ledger, !clientFaults.isEmpty());
            int planned = tools.stream().mapToInt(t -> t.planned().size()).sum();
            return new Report(scenario, ledger, load, breaches, planned, leftOpen(tools));
        } finally {
            started.forEach(ProxyProcess::close);
            for (FaultTool tool : atClients) {
                tool.close();
            }
        }
    }

    /** Connections that are still open up to 1 s after all proxies and clients have ended. */
    private static int leftOpen(List<FaultTool> tools) throws InterruptedException {
        for (int i = 0; i < 50 && tools.stream().anyMatch(t -> t.open() > 0); i++) {
            Thread.sleep(20);
        }
        return tools.stream().mapToInt(FaultTool::open).sum();
    }
}
