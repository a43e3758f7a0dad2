import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients read one key after the other. For some seconds there are also some clients that send hundreds of commands of a class that
 * does not exist, read the errors, close, and do the same again. Each usual read has to have its final answer half a second after the
 * client's time at the latest.
 */
final class BadClients {
    private static final int USUAL = 4;
    private static final int BAD = 30;
    private static final int COMMANDS = 300;
    private static final double BAD_FROM_MS = 3000;
    private static final double BAD_FOR_MS = 10_000;
    private static final double LENGTH_MS = 24_000;
    /** Half of the class's time: the site's clients wait for 50 to 100% of it. */
    private static final double DEADLINE_MS = 2000;
    private static final double SLACK_MS = 550;

    private static final List<String> LOST = new ArrayList<>();
    private static final AtomicInteger JUDGED = new AtomicInteger();
    private static final AtomicInteger BAD_ROUNDS = new AtomicInteger();
    private static double longestMs;

    public static void main(String[] args) throws Exception {
        Stand.run(Path.of(args[0]), BadClients::play);
    }

    private static String play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Stand.Cache cache = new Stand.Cache("cache-" + i) {
                @Override
                double workMs(Stand.Asked asked) {
                    return 30;
                }
            };
            entries.add(cache.entry(i == 0 ? "economico" : "estandar", cache.port(), Stand.ZONES[i]));
        }
        Stand.Origin origin = new Stand.Origin();
        entries.add(origin.entry("origin", origin.port(), Stand.ZONES[0]));
        Stand.Program program = new Stand.Program(new Stand.Discovery(entries), Stand.litoral());
        double from = Stand.nowMs();
        List<Thread> usual = new ArrayList<>();
        for (int c = 0; c < USUAL; c++) {
            int number = c;
            usual.add(Stand.go("usual client " + c, () -> readOn(number, program.port, from + LENGTH_MS)));
        }
        Stand.sleep(BAD_FROM_MS);
        if (Stand.TROUBLE) {
            Stand.record("%d bad clients begin", BAD);
            for (int c = 0; c < BAD; c++) {
                int number = c;
                Stand.go("bad client " + c, () -> sendBad(number, program.port, from + BAD_FROM_MS + BAD_FOR_MS));
            }
            Stand.sleep(BAD_FOR_MS);
            Stand.record("the bad clients end; they have sent %d times %d commands", BAD_ROUNDS.get(), COMMANDS);
        }
        for (Thread client : usual) {
            client.join();
        }
        if (!program.process.isAlive()) {
            return "the program has ended";
        }
        if (JUDGED.get() < 20) {
            throw new IllegalStateException("only " + JUDGED.get() + " usual reads");
        }
        Stand.record("%d usual reads, the longest took %.0f ms", JUDGED.get(), longestMs);
        return LOST.isEmpty() ? "" : LOST.size() + " of " + JUDGED.get() + " usual reads were lost, such as: " + LOST.get(0)
                + String.format("; the longest took %.0f ms", longestMs);
    }

    private static void readOn(int number, int port, double until) throws Exception {
        Stand.Client client = new Stand.Client("usual", port);
        for (int i = 0; Stand.nowMs() < until; i++) {
            String key = String.format("%016x", 1 + i % 50);
            String id = String.format("d%07x%08x", number, i);
            byte[] command = Stand.command("C.GET", key, id, "c=consulta,d=" + (int) DEADLINE_MS);
            String text = "";
            double tookMs = Double.POSITIVE_INFINITY;
            for (int sent = 1; sent <= 2; sent++) { // once more on a new connection, if the first one ends
                client.socket.setSoTimeout(20_000);
                double at = Stand.nowMs();
                try {
                    client.write(command);
                    text = "answered " + Stand.cut(client.read().get(0));
                    tookMs = Stand.nowMs() - at;
                    break;
                } catch (IOException e) {
                    text = "no answer: " + e.getMessage() + (sent == 2 ? ", also on a new connection" : "");
                    Stand.record("usual client %d: id %s: %s after %.0f ms", number, id, text, Stand.nowMs() - at);
                    client.close();
                    client = new Stand.Client("usual", port);
                }
            }
            JUDGED.incrementAndGet();
            Stand.record("usual client %d: id %s: %s after %.0f ms", number, id, text, tookMs);
            synchronized (LOST) {
                longestMs = Math.max(longestMs, tookMs);
                if (tookMs > DEADLINE_MS + SLACK_MS) {
                    LOST.add(String.format("id %s, whose client waits for %.0f ms: %s after %.0f ms", id, DEADLINE_MS, text, tookMs));
                    Stand.record("LOST: %s", LOST.get(LOST.size() - 1));
                }
            }
            Stand.sleep(20);
        }
        client.close();
    }

    private static void sendBad(int number, int port, double until) throws Exception {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < COMMANDS; i++) {
            all.append(new String(Stand.command("C.GET", String.format("%016x", i), String.format("e%07x%08x", number, i), "c=no-such,d=1000"),
                    java.nio.charset.StandardCharsets.ISO_8859_1));
        }
        byte[] bytes = Stand.ascii(all.toString());
        while (Stand.nowMs() < until) {
            try (Stand.Client client = new Stand.Client("bad", port)) {
                client.socket.setSoTimeout(3000);
                client.write(bytes);
                for (int i = 0; i < COMMANDS; i++) {
                    client.read();
                }
                BAD_ROUNDS.incrementAndGet();
            } catch (IOException e) {
                Stand.sleep(10);
            }
        }
    }
}
