package dappleseam.lab.growth;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.emulator.LargeFleet;
import dappleseam.lab.emulator.LargeFleet.Day;
import dappleseam.lab.load.LoadTool;
import dappleseam.lab.proxies.Ports;
import dappleseam.lab.proxies.ProxyProcess;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Load;
import dappleseam.lab.scenario.Scenario.Origin;
import dappleseam.lab.scenario.Scenario.Repeat;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Measures what one proxy needs depending on the number of caches, with the same traffic and limits; by default, the large size has sixteen times the caches. */
public final class Growth {
    private static final int EMULATORS = 8;
    /** Caches per proxy of the fleet, so that the cache capacity per proxy is the same at both sizes. */
    private static final int CACHES_A_PROXY = 2;
    private static final int SAMPLE_MS = 50;

    /** What one proxy used during a run. {@code served}: the share of queries that were completed. */
    public record Need(double cpuS, double memoryMb, int descriptors, int connections, double listKb, double served) {}

    /** A value at the usual and at the large size, and the acceptance bound for the large one. */
    private record Line(String what, double usual, double large, double bound, boolean isOver) {}

    private final String serve;
    private final Path home;
    private final double seconds;
    private final double perSecond;

    public Growth(String serve, Path home, double seconds, double perSecond) {
        this.serve = serve;
        this.home = home;
        this.seconds = seconds;
        this.perSecond = perSecond;
    }

    private Scenario scenario(Day day) {
        Grade read = new Grade("read", 1, Repeat.IDEMPOTENT, false, 600, 2000, 0, 0);
        return new Scenario(day.name(), 7, seconds, new Caches(EMULATORS, 2, 400, 400, 10_000, 100_000, 0.4, 6, 2000, 300), new Origin(5, 200),
                new Load(perSecond, 20_000, 0.9, List.of(read)), List.of(), List.of());
    }

    /** Runs a pattern of changes with one proxy and that many caches. */
    public Need play(Day day, int caches) throws IOException, InterruptedException {
        Scenario scenario = scenario(day);
        Ledger ledger = new Ledger();
        try (LargeFleet fleet = new LargeFleet(scenario, caches, ledger); Ports free = new Ports();
                ProxyProcess proxy = new ProxyProcess(serve, home.resolve(day + "-" + caches),
                        ProxyProcess.config(scenario, fleet.listPort(), fleet.known(), caches / CACHES_A_PROXY, 0, free.take()))) {
            proxy.awaitReady();
            AtomicInteger descriptors = new AtomicInteger();
            Thread sampler = sampler(proxy, descriptors);
            double cpuBefore = proxy.cpuMs();
            long bytesBefore = fleet.listBytes();
            fleet.begin(day, seconds);
            new LoadTool(scenario, ledger, List.of(proxy.port())).play();
            double cpuS = (proxy.cpuMs() - cpuBefore) / 1000;
            sampler.interrupt();
            long completed = ledger.queries.stream().filter(q -> q.verdict() == Ledger.Verdict.COMPLETED).count();
            return new Need(cpuS, proxy.peakMb(), descriptors.get(), fleet.connectionsMade(), (fleet.listBytes() - bytesBefore) / 1024.0,
                    (double) completed / ledger.queries.size());
        }
    }

    /** Starts a thread that tracks the highest number of open descriptors. */
    private static Thread sampler(ProxyProcess proxy, AtomicInteger most) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    most.accumulateAndGet(proxy.descriptors(), Math::max);
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
    public static Comparison compare(Day day, int largeCaches, Need usual, Need large) {
        double thousands = largeCaches / 1000.0;
        List<Line> lines = List.of(
                atMost("CPU, s", usual.cpuS, large.cpuS, 1.4 * usual.cpuS + 0.02 + 0.12 * thousands),
                atMost("peak memory, MB", usual.memoryMb, large.memoryMb, 1.5 * usual.memoryMb + 8 + 4 * thousands),
                atMost("descriptors", usual.descriptors, large.descriptors, 2 * usual.descriptors + 40),
                atMost("connections made to caches", usual.connections, large.connections, 2.5 * usual.connections + 40),
                atMost("lists, KB", usual.listKb, large.listKb, 2 * usual.listKb + 64 + 500 * thousands),
                new Line("share served", usual.served, large.served, 0.85 * usual.served, large.served < 0.85 * usual.served));
        StringBuilder table = new StringBuilder(day.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append('\n');
        for (Line line : lines) {
            table.append(String.format(Locale.ROOT, "  %-28s %10.2f %10.2f   bound %10.2f  %s%n", line.what, line.usual, line.large, line.bound,
                    line.isOver ? "over" : "holds"));
        }
        return new Comparison(table.toString(), lines.stream().anyMatch(Line::isOver));
    }

    private static Line atMost(String what, double usual, double large, double bound) {
        return new Line(what, usual, large, bound, large > bound);
    }
}
