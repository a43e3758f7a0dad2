import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A client sends three commands at once on one connection: a read or a write, a read of a long value, and a read. The cache of the long value
 * resets its connection in the middle of that value. The other two, whose cache or origin answers in time, have to be answered.
 */
final class BrokenLong {
    private static final int LONG_BYTES = 100_000;
    /** Bytes of its answer that have come when the connection is reset. */
    private static final int SENT_BYTES = 40_000;
    private static final int ROUNDS = 10;
    private static final double USUAL_MS = 130;
    private static final double DEADLINE_MS = 4000;
    /** An answer counts up to half a second after the client's time. */
    private static final double SLACK_MS = 550;

    private static final Map<String, String> CACHE_OF_KEY = new ConcurrentHashMap<>();
    private static final Set<String> LONG_KEYS = ConcurrentHashMap.newKeySet();
    private static final Set<String> ANSWERED_WHOLE = ConcurrentHashMap.newKeySet();
    private static volatile boolean isBreaking;

    public static void main(String[] args) throws Exception {
        Stand.run(Path.of(args[0]), BrokenLong::play);
    }

    private static final class Breaking extends Stand.Cache {
        Breaking(String uid) throws Exception {
            super(uid);
        }

        @Override
        double workMs(Stand.Asked asked) {
            return LONG_KEYS.contains(asked.key) ? 10 : USUAL_MS;
        }

        @Override
        String value(String key) {
            return LONG_KEYS.contains(key) ? "L".repeat(LONG_BYTES) : Stand.valueOf(key);
        }

        @Override
        void answer(Socket socket, InputStream in, OutputStream out, Stand.Asked asked, LinkedBlockingQueue<Stand.Asked> waiting) throws Exception {
            CACHE_OF_KEY.putIfAbsent(asked.key, uid);
            if (isBreaking && LONG_KEYS.contains(asked.key)) {
                Stand.sleep(asked.atMs + workMs(asked) - Stand.nowMs());
                out.write(Stand.cacheAnswer(value(asked.key)), 0, SENT_BYTES);
                Stand.sleep(30);
                Stand.record("%s resets its connection in the middle of the value for id %s", uid, asked.id);
                socket.setSoLinger(true, 0);
                socket.close();
                return;
            }
            super.answer(socket, in, out, asked, waiting);
            ANSWERED_WHOLE.add(asked.id);
        }
    }

    private static String play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Stand.Cache cache = new Breaking("cache-" + i);
            entries.add(cache.entry(i == 0 ? "economico" : "estandar", cache.port(), Stand.ZONES[i]));
        }
        Stand.Origin origin = new Stand.Origin() {
            @Override
            void answered(String id, byte[] answer, Socket socket, OutputStream out) {
                ANSWERED_WHOLE.add(id);
            }
        };
        entries.add(origin.entry("origin", origin.port(), Stand.ZONES[0]));
        Stand.Program program = new Stand.Program(new Stand.Discovery(entries), Stand.litoral());
        List<String> keys = learnCaches(program);
        LONG_KEYS.add(keys.get(1));
        isBreaking = Stand.TROUBLE;
        List<String> broken = new ArrayList<>();
        int usual = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Stand.Client client = new Stand.Client("client " + round, program.port);
            client.socket.setSoTimeout((int) (DEADLINE_MS + SLACK_MS));
            StringBuilder all = new StringBuilder();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                ids.add(String.format("%08x%08x", round + 1, i));
                byte[] command = i == 0 && round % 2 == 1 // every other time the first one is a write, which goes to the origin
                        ? Stand.command("C.SET", keys.get(i), ids.get(i), "c=transferencia,d=3000,k=" + ids.get(i), "amount=1")
                        : Stand.command("C.GET", keys.get(i), ids.get(i), "c=consulta,d=" + (int) DEADLINE_MS);
                all.append(new String(command, java.nio.charset.StandardCharsets.ISO_8859_1));
            }
            client.write(Stand.ascii(all.toString()));
            double sentAt = Stand.nowMs();
            Stand.record("client %d sends %s: a %s, a read of a long value, a read", round, ids, round % 2 == 1 ? "write" : "read");
            boolean hasBegunLong = false;
            for (int i = 0; i < 3; i++) {
                String text;
                boolean whole = false;
                try {
                    String answer = client.read().get(0);
                    text = "is answered " + Stand.cut(answer);
                    whole = true;
                } catch (java.io.EOFException e) { // the end of the connection
                    hasBegunLong |= e.getMessage().equals("ended inside a value");
                    text = "gets no whole answer: the connection " + e.getMessage();
                } catch (java.io.IOException e) {
                    text = "gets no whole answer: " + e.getMessage();
                }
                boolean inTime = whole && Stand.nowMs() <= sentAt + DEADLINE_MS + SLACK_MS;
                Stand.record("client %d: id %s %s", round, ids.get(i), text);
                boolean isJudged = i == 0 || i == 2 && !hasBegunLong; // behind a value that has begun, a close is all that can tell
                usual += isJudged ? 1 : 0;
                if (isJudged && !inTime) {
                    broken.add("id " + ids.get(i) + ", " + text + (ANSWERED_WHOLE.contains(ids.get(i)) ? "; it had been answered whole to the proxy" : ""));
                }
            }
            client.close();
            Stand.sleep(2500);
        }
        Stand.record("%d usual commands judged, %d lost", usual, broken.size());
        broken.forEach(line -> Stand.record("LOST: %s", line));
        return broken.isEmpty() ? "" : broken.size() + " of " + usual + " usual commands were lost, such as: " + broken.get(0);
    }

    /** Keys of three different caches, found by reading some. */
    private static List<String> learnCaches(Stand.Program program) throws Exception {
        Map<String, String> keyOfCache = new ConcurrentHashMap<>();
        try (Stand.Client client = new Stand.Client("first reads", program.port)) {
            for (int i = 1; i <= 60; i++) {
                String key = String.format("%016x", 0x5eed0000L + i * 7919L);
                client.write(Stand.command("C.GET", key, String.format("f%015x", i), "c=consulta,d=" + (int) DEADLINE_MS));
                client.read();
                keyOfCache.putIfAbsent(CACHE_OF_KEY.getOrDefault(key, "none"), key);
            }
        }
        if (!keyOfCache.keySet().containsAll(Set.of("cache-0", "cache-1", "cache-2"))) {
            throw new IllegalStateException("not all caches were read: " + keyOfCache);
        }
        return List.of(keyOfCache.get("cache-0"), keyOfCache.get("cache-1"), keyOfCache.get("cache-2"));
    }
}
