package dappleseam.lab.growth;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.emulator.LargeFleet;
import dappleseam.lab.emulator.LargeFleet.ChurnPattern;
import dappleseam.lab.load.LoadGenerator;
import dappleseam.lab.proxies.PortAllocator;
import dappleseam.lab.proxies.ProxyProcess;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Load;
import dappleseam.lab.scenario.Scenario.Origin;
import dappleseam.lab.scenario.Scenario.Semantics;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Measures what one proxy needs depending on the number of caches, with the same traffic and limits; by default, the large size has sixteen times the caches. */
public final class ScalingBenchmark {
    private static final int EMULATORS = 8;
    /** Caches per proxy of the fleet, so that the cache capacity per proxy is the same at both sizes. */
    private static final int CACHES_PER_PROXY = 2;
    private static final int SAMPLE_MS = 50;

    /** What one proxy used during a run. {@code served}: the share of queries that were completed. */
    public record ResourceUsage(double cpuS, double memoryMb, int descriptors, int connections, double listKb, double served) {}

    /** A value at the usual and at the large size, and the acceptance bound for the large one. */
    private record ComparisonLine(String label, double usual, double large, double bound, boolean isOver) {}

    private final String serve;
    private final Path workFolder;
    private final double seconds;
    private final double perSecond;

    public ScalingBenchmark(String serve, Path workFolder, double seconds, double perSecond) {
        this.serve = serve;
        this.workFolder = workFolder;
        this.seconds = seconds;
        this.perSecond = perSecond;
    }

    private Scenario scenario(ChurnPattern pattern) {
        Grade read = new Grade("read", 1, Semantics.IDEMPOTENT, false, 600, 2000, 0, 0);
        return new Scenario(pattern.name(), 7, seconds, new Caches(EMULATORS, 2, 400, 400, 10_000, 100_000, 0.4, 6, 2000, 300), new Origin(5, 200),
                new Load(perSecond, 20_000, 0.9, List.of(read)), List.of(), List.of());
    }

    /** Runs a pattern of changes with one proxy and that many caches. */
    public ResourceUsage measure(ChurnPattern pattern, int caches) throws IOException, InterruptedException {
        Scenario scenario = scenario(pattern);
        Ledger ledger = new Ledger();
        try (LargeFleet fleet = new LargeFleet(scenario, caches, ledger); PortAllocator portAllocator = new PortAllocator();
                ProxyProcess proxy = new ProxyProcess(serve, workFolder.resolve(pattern + "-" + caches),
                        ProxyProcess.config(scenario, fleet.listPort(), fleet.knownList(), caches / CACHES_PER_PROXY, 0, portAllocator.allocate()))) {
            proxy.awaitReady();
            AtomicInteger descriptors = new AtomicInteger();
            Thread sampler = startSampler(proxy, descriptors);
            double cpuBefore = proxy.cpuMs();
            long bytesBefore = fleet.listBytes();
            fleet.startChurn(pattern, seconds);
            new LoadGenerator(scenario, ledger, List.of(proxy.port())).generate();
            double cpuS = (proxy.cpuMs() - cpuBefore) / 1000;
            sampler.interrupt();
            long completed = ledger.queries.stream().filter(q -> q.outcome() == Ledger.Outcome.COMPLETED).count();
            return new ResourceUsage(cpuS, proxy.peakResidentMb(), descriptors.get(), fleet.connectionsMade(), (fleet.listBytes() - bytesBefore) / 1024.0,
                    (double) completed / ledger.queries.size());
        }
    }

    /** Starts a thread that tracks the highest number of open descriptors. */
    private static Thread startSampler(ProxyProcess proxy, AtomicInteger highest) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    highest.accumulateAndGet(proxy.openDescriptors(), Math::max);
                    Thread.sleep(SAMPLE_MS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "sampler");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The values of both sizes with the bounds as a printable table, and whether a bound is exceeded. */
    public record Comparison(String table, boolean isOver) {}

    /** Compares both sizes with the acceptance bounds. */
    public static Comparison compare(ChurnPattern pattern, int largeCaches, ResourceUsage usual, ResourceUsage large) {
        double thousands = largeCaches / 1000.0;
        List<ComparisonLine> lines = List.of(
                atMost("CPU, s", usual.cpuS, large.cpuS, 1.4 * usual.cpuS + 0.02 + 0.12 * thousands),
                atMost("peak memory, MB", usual.memoryMb, large.memoryMb, 1.5 * usual.memoryMb + 8 + 4 * thousands),
                atMost("descriptors", usual.descriptors, large.descriptors, 2 * usual.descriptors + 40),
                atMost("connections made to caches", usual.connections, large.connections, 2.5 * usual.connections + 40),
                atMost("lists, KB", usual.listKb, large.listKb, 2 * usual.listKb + 64 + 500 * thousands),
                new ComparisonLine("share served", usual.served, large.served, 0.85 * usual.served, large.served < 0.85 * usual.served));
        StringBuilder table = new StringBuilder(pattern.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append('\n');
        for (ComparisonLine line : lines) {
            table.append(String.format(Locale.ROOT, "  %-28s %10.2f %10.2f   bound %10.2f  %s%n", line.label, line.usual, line.large, line.bound,
                    line.isOver ? "over" : "holds"));
        }
        return new Comparison(table.toString(), lines.stream().anyMatch(ComparisonLine::isOver));
    }

    private static ComparisonLine atMost(String label, double usual, double large, double bound) {
        return new ComparisonLine(label, usual, large, bound, large > bound);
    }
}
