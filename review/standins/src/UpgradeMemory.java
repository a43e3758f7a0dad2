import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients write long values, more at once than memory holds. Then the program is started again beside the old process, with the same addresses, and
 * the old one gets SIGTERM at the new one's yes. The stand-in for the platform looks at the memory of both and, as the platform does, kills over the
 * limit: that is a crash.
 */
final class UpgradeMemory {
    private static final int MEMORY_MB = 192;
    private static final int CLIENTS = 60;
    private static final int VALUE_BYTES = 1 << 20;
    /** Time that the origin takes for a write, ms. */
    private static final double ORIGIN_MS = 300;
    private static final double ALONE_MS = 5000;
    private static final double AFTER_YES_MS = 4000;
    private static final double LOOK_EVERY_MS = 50;

    /** Time for which both are left over the limit before the platform kills, ms: no single look decides. */
    private static final double OVER_FOR_MS = 200;

    private static volatile boolean isOver;
    private static int killedWith = -1;
    private static final AtomicInteger OPEN = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger OTHERS = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Stand.run(Path.of(args[0]), UpgradeMemory::play);
    }

    /** Memory of a process in MB, shared pages by their share: of all kinds, and of the kinds that no file backs. */
    private record Memory(double all, double anonymous) {
        static Memory of(long pid) {
            double all = 0;
            double anonymous = 0;
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/smaps_rollup"))) {
                    double mb = line.endsWith("kB") ? Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024 : 0;
                    all += line.startsWith("Pss:") ? mb : 0;
                    anonymous += line.startsWith("Pss_Anon:") ? mb : 0;
                }
            } catch (IOException e) {
                return new Memory(0, 0); // it has ended
            }
            return new Memory(all, anonymous);
        }
    }

    private static String play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Stand.Cache cache = new Stand.Cache("cache-" + i);
            entries.add(cache.entry(i == 0 ? "economico" : "estandar", cache.port(), Stand.ZONES[i]));
        }
        Stand.Origin origin = new Stand.Origin() {
            @Override
            double workMs(String method, String key) {
                return ORIGIN_MS;
            }
        };
        entries.add(origin.entry("origin", origin.port(), Stand.ZONES[0]));
        Stand.Discovery discovery = new Stand.Discovery(entries);
        Stand.Program old = new Stand.Program(discovery, Stand.litoral());
        long oldPid = old.process.pid();
        Stand.record("the process is alone and idle: %.0f MB, of these %.0f anonymous", Memory.of(oldPid).all, Memory.of(oldPid).anonymous);
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            Stand.go("client " + c, () -> writeOn(number, old.port));
        }
        double most = 0;
        double mostAnonymous = 0;
        double until = Stand.nowMs() + ALONE_MS;
        while (Stand.nowMs() < until) {
            Memory memory = Memory.of(oldPid);
            most = Math.max(most, memory.all);
            mostAnonymous = Math.max(mostAnonymous, memory.anonymous);
            Stand.sleep(LOOK_EVERY_MS);
        }
        Stand.record("the process alone, with long values: at most %.0f MB, of these %.0f anonymous", most, mostAnonymous);
        if (SERVED.get() < 20) {
            throw new IllegalStateException("only " + SERVED.get() + " writes were served");
        }
        if (Stand.TROUBLE) {
            Stand.Program next = new Stand.Program(discovery, Stand.litoral(), old.port); // returns at its yes
            new ProcessBuilder("kill", "-TERM", Long.toString(oldPid)).start().waitFor();
            Stand.record("the new process says yes; the old one gets SIGTERM");
            until = Stand.nowMs() + AFTER_YES_MS;
            double overSince = Double.NaN;
            while (Stand.nowMs() < until) {
                Memory before = Memory.of(oldPid);
                Memory after = Memory.of(next.process.pid());
                double both = before.all + after.all;
                if (before.all > 0 && both > most) {
                    most = both;
                    mostAnonymous = before.anonymous + after.anonymous;
                    Stand.record("old %.0f MB, new %.0f MB, together %.0f MB, of these %.0f anonymous", before.all, after.all, both, mostAnonymous);
                }
                overSince = both <= MEMORY_MB ? Double.NaN : Double.isNaN(overSince) ? Stand.nowMs() : overSince;
                if (Stand.nowMs() >= overSince + OVER_FOR_MS) {
                    break;
                }
                Stand.sleep(LOOK_EVERY_MS);
            }
            if (!Double.isNaN(overSince)) {
                Stand.record("the platform kills both processes: they have been over %d MB for %.0f ms; %d requests are open", MEMORY_MB, OVER_FOR_MS, OPEN.get());
                killedWith = OPEN.get();
                old.process.destroyForcibly();
                next.process.destroyForcibly();
                Stand.sleep(300);
            }
        }
        isOver = true;
        Stand.record("%d writes served, %d refused or failed; at most %.0f MB", SERVED.get(), OTHERS.get(), most);
        return killedWith < 0 ? "" : String.format("killed for memory, with %d requests open: %.0f MB, of these %.0f anonymous, where the settings allow %d MB",
                killedWith, most, mostAnonymous, MEMORY_MB);
    }

    private static void writeOn(int number, int port) throws Exception {
        String value = "w".repeat(VALUE_BYTES);
        for (int i = 0; !isOver; i++) {
            String id = String.format("a%07x%08x", number, i);
            try (Stand.Client client = new Stand.Client("writer", port)) {
                client.socket.setSoTimeout(8000);
                client.write(Stand.command("C.SET", String.format("%016x", number + 1), id, "c=transferencia,d=3000,k=" + id, value));
                OPEN.incrementAndGet();
                String answer;
                try {
                    answer = client.read().get(0);
                } finally {
                    OPEN.decrementAndGet();
                }
                (answer.startsWith("-") ? OTHERS : SERVED).incrementAndGet();
            } catch (IOException e) {
                OTHERS.incrementAndGet();
            }
            Stand.sleep(100);
        }
    }
}
