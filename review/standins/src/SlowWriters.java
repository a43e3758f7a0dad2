import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Some clients write long values in pieces, over some seconds. Other clients meanwhile write values of 1 MiB at once: each of these has to have
 * its final answer half a second after the client's time at the latest.
 */
final class SlowWriters {
    private static final int SLOW_CLIENTS = 3;
    private static final int[] SLOW_BYTES = {4 << 20, 4 << 20, 3 << 20};
    private static final double SLOW_MS = 5000;
    private static final int PIECES = 100;
    private static final int QUICK_CLIENTS = 8;
    private static final int QUICK_BYTES = 1 << 20;
    private static final double DEADLINE_MS = 1500;
    private static final double SLACK_MS = 550;
    private static final int ROUNDS = 3;

    public static void main(String[] args) throws Exception {
        Stand.run(Path.of(args[0]), SlowWriters::play);
    }

    private static String play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Stand.Cache cache = new Stand.Cache("cache-" + i);
            entries.add(cache.entry(i == 0 ? "economico" : "estandar", cache.port(), Stand.ZONES[i]));
        }
        Stand.Origin origin = new Stand.Origin();
        entries.add(origin.entry("origin", origin.port(), Stand.ZONES[0]));
        Stand.Program program = new Stand.Program(new Stand.Discovery(entries), Stand.litoral());
        List<String> late = new ArrayList<>();
        int judged = 0;
        for (int round = 0; round < ROUNDS; round++) {
            int number = round;
            CountDownLatch slowDone = new CountDownLatch(SLOW_CLIENTS);
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                String id = String.format("b%07x%08x", round, i);
                Stand.go("slow client " + i, () -> {
                    try (Stand.Client client = new Stand.Client("slow", program.port)) {
                        byte[] all = Stand.command("C.SET", "00000000000000b" + id.charAt(15), id, "c=transferencia,d=3000,k=" + id, "s".repeat(SLOW_BYTES[id.charAt(15) - 48]));
                        double from = Stand.nowMs();
                        for (int p = 0; p < PIECES; p++) {
                            client.write(Arrays.copyOfRange(all, (int) ((long) all.length * p / PIECES), (int) ((long) all.length * (p + 1) / PIECES)));
                            Stand.sleep(Stand.TROUBLE ? from + SLOW_MS * (p + 1) / PIECES - Stand.nowMs() : 0);
                        }
                        Stand.record("slow client: id %s is written whole, %.0f ms after its first byte", id, Stand.nowMs() - from);
                        Stand.record("slow client: id %s is answered %s", id, Stand.cut(client.read().get(0)));
                    } finally {
                        slowDone.countDown();
                    }
                });
            }
            Stand.sleep(500);
            CountDownLatch quickDone = new CountDownLatch(QUICK_CLIENTS);
            judged += QUICK_CLIENTS;
            for (int i = 0; i < QUICK_CLIENTS; i++) {
                String id = String.format("c%07x%08x", round, i);
                Stand.go("quick client " + i, () -> {
                    String text = "has no answer";
                    double writtenAt = 0;
                    double tookMs = Double.POSITIVE_INFINITY;
                    try (Stand.Client client = new Stand.Client("quick", program.port)) {
                        client.socket.setSoTimeout(20_000);
                        client.write(Stand.command("C.SET", "00000000000000c" + id.charAt(15), id, "c=transferencia,d=" + (int) DEADLINE_MS + ",k=" + id, "q".repeat(QUICK_BYTES)));
                        writtenAt = Stand.nowMs();
                        Stand.record("quick client: id %s is written whole", id);
                        text = "is answered " + Stand.cut(client.read().get(0));
                        tookMs = Stand.nowMs() - writtenAt;
                    } catch (java.io.IOException e) {
                        text = "has no answer: " + e.getMessage();
                    }
                    Stand.record("quick client: id %s %s after %.0f ms", id, text, tookMs);
                    if (tookMs > DEADLINE_MS + SLACK_MS) {
                        synchronized (late) {
                            late.add(String.format("id %s, whose client waits for %.0f ms, %s after %.0f ms", id, DEADLINE_MS, text, tookMs));
                        }
                    }
                    quickDone.countDown();
                });
            }
            quickDone.await();
            slowDone.await();
            Stand.sleep(1000);
        }
        late.forEach(line -> Stand.record("LOST: %s", line));
        return late.isEmpty() ? "" : late.size() + " of " + judged + " writes were lost, such as: " + late.get(0);
    }
}
