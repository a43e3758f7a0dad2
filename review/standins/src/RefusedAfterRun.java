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
 * A cache answers the read of a long value, and right behind it, while nothing else waits on the connection, a second time. Meanwhile a client
 * sends a write that must never run twice. It sends it again only if it is refused with -BUSY: no write may run twice.
 */
final class RefusedAfterRun {
    /** Bytes of the long value: over 64 KiB, up to 4 MiB. */
    private static final int LONG_BYTES = 200_000;
    /** Time over which the cache writes the second answer, in pieces, ms: "peers take seconds to read or write, in pieces of any size". */
    private static final double COPY_MS = 200;
    private static final int PIECES = 5;
    private static final double WRITE_AFTER_MS = 50;
    private static final int ROUNDS = 8;
    /** Half of the class's time: the site's clients give up a try after 50 to 60% of it. */
    private static final String WRITE_FACTS = "c=transfer,d=2000";
    private static final int MOST_TRIES = 3;

    private static final Map<String, String> CACHE_OF_KEY = new ConcurrentHashMap<>();
    private static final Set<String> LONG_KEYS = ConcurrentHashMap.newKeySet();
    /** The ids under which each write was run. */
    private static final Map<String, List<String>> RAN = new ConcurrentHashMap<>();
    private static volatile boolean isCopying;

    public static void main(String[] args) throws Exception {
        Stand.run(Path.of(args[0]), RefusedAfterRun::play);
    }

    private static final class Copying extends Stand.Cache {
        Copying(String uid) throws Exception {
            super(uid);
        }

        @Override
        String value(String key) {
            return LONG_KEYS.contains(key) ? "L".repeat(LONG_BYTES) : Stand.valueOf(key);
        }

        @Override
        double workMs(Stand.Asked asked) {
            return asked.value == null ? 5 : 20;
        }

        @Override
        void answer(Socket socket, InputStream in, OutputStream out, Stand.Asked asked, LinkedBlockingQueue<Stand.Asked> waiting) throws Exception {
            CACHE_OF_KEY.putIfAbsent(asked.key, uid);
            if (asked.value != null) {
                RAN.computeIfAbsent(asked.value, v -> java.util.Collections.synchronizedList(new ArrayList<>())).add(asked.id);
                Stand.record("%s runs %s for id %s", uid, asked.value, asked.id);
            }
            super.answer(socket, in, out, asked, waiting);
            if (isCopying && LONG_KEYS.contains(asked.key) && waiting.isEmpty() && socket.getInputStream().available() == 0) {
                byte[] copy = Stand.cacheAnswer(value(asked.key));
                Stand.record("%s begins to answer id %s a second time, nothing else waits", uid, asked.id);
                for (int i = 0; i < PIECES; i++) {
                    int from = copy.length * i / PIECES;
                    out.write(copy, from, copy.length * (i + 1) / PIECES - from);
                    Stand.sleep(i + 1 < PIECES ? COPY_MS / PIECES : 0);
                }
                Stand.record("%s has answered id %s a second time", uid, asked.id);
            }
        }
    }

    private static String play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Stand.Cache cache = new Copying("cache-" + i);
            entries.add(cache.entry("std-3core", cache.port(), i < 2 ? "hall-a" : "hall-b"));
        }
        Stand.Program program = new Stand.Program(new Stand.Discovery(entries), Stand.kingston());
        List<String> keys = new ArrayList<>();
        List<String> twice = new ArrayList<>();
        int answered = 0;
        try (Stand.Client reader = new Stand.Client("reader", program.port)) {
            for (int i = 1; i <= 60; i++) { // finds keys of one cache
                String key = String.format("%016x", 0x5eed0000L + i * 7919L);
                reader.write(Stand.command("C.GET", key, String.format("f%015x", i), "c=league-table,d=2000"));
                reader.read();
                if ("cache-1".equals(CACHE_OF_KEY.get(key))) {
                    keys.add(key);
                }
            }
        }
        LONG_KEYS.add(keys.get(0));
        isCopying = Stand.TROUBLE;
        for (int round = 0; round < ROUNDS; round++) {
            try (Stand.Client reader = new Stand.Client("reader", program.port); Stand.Client writer = new Stand.Client("writer", program.port)) {
                reader.write(Stand.command("C.GET", keys.get(0), String.format("a%015x", round), "c=league-table,d=2000"));
                Stand.record("reader: the long value: %s", Stand.cut(reader.read().get(0)));
                Stand.sleep(WRITE_AFTER_MS);
                String transfer = "transfer-" + round;
                for (int attempt = 1; attempt <= MOST_TRIES; attempt++) {
                    String id = String.format("b%07x%08x", attempt, round);
                    double at = Stand.nowMs();
                    writer.write(Stand.command("C.SET", keys.get(1 + round % (keys.size() - 1)), id, WRITE_FACTS + (attempt > 1 ? ",r=1" : ""), transfer));
                    String answer = writer.read().get(0);
                    answered++;
                    Stand.record("writer: %s, id %s, is answered %s after %.0f ms; it was run for %s", transfer, id, Stand.cut(answer), Stand.nowMs() - at, RAN.get(transfer));
                    if (!answer.startsWith("-BUSY")) {
                        break; // served, or failed: it may have run, so that it is not sent again
                    }
                    Stand.sleep(50);
                }
                if (RAN.getOrDefault(transfer, List.of()).size() > 1) {
                    twice.add(transfer + ", which must never run twice, was run for the ids " + RAN.get(transfer) + ": the client was told -BUSY after it had been run");
                    Stand.record("TWICE: %s", twice.get(twice.size() - 1));
                }
            }
            Stand.sleep(1000);
        }
        if (answered < ROUNDS) {
            throw new IllegalStateException("only " + answered + " writes were answered");
        }
        return twice.isEmpty() ? "" : twice.size() + " of " + ROUNDS + " writes ran twice, such as: " + twice.get(0);
    }
}
