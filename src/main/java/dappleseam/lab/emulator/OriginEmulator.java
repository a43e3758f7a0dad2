package dappleseam.lab.emulator;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.peer.BlockingIo;
import dappleseam.lab.peer.TimedInput;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.Origin;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/** Emulates the origin: reads after cache misses, writes, and deduplication by idempotency key within a window. */
public final class OriginEmulator extends EmulatedServer implements CacheEmulator.MissListener {
    private final Origin config;
    private final Caches cacheConfig;
    private final Ledger ledger;
    private final Semaphore slots;
    /** Caches that missed the key of a query, by the query's identifier; they store the value once the origin has answered. */
    private final Map<String, ConcurrentLinkedQueue<CacheEmulator>> misses = new ConcurrentHashMap<>();
    /** When each idempotency key was first used. */
    private final Map<String, Double> firstUseMs = new ConcurrentHashMap<>();
    private volatile List<CacheEmulator> allCaches = List.of();

    OriginEmulator(Origin config, Caches cacheConfig, Ledger ledger) throws IOException {
        this.config = config;
        this.cacheConfig = cacheConfig;
        this.ledger = ledger;
        slots = new Semaphore(config.slots(), true);
    }

    void setCaches(List<CacheEmulator> caches) {
        allCaches = caches;
    }

    /** The value for that key and query, distinct from that of any other query, so that a client can verify it. */
    public static String value(String key, String query, int bytes) {
        String start = key + '/' + query + '/';
        return start + "v".repeat(Math.max(0, bytes - start.length()));
    }

    @Override
    public void onMiss(String query, CacheEmulator reporter) {
        misses.computeIfAbsent(query, q -> new ConcurrentLinkedQueue<>()).add(reporter);
    }

    @Override
    void serve(TimedInput in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            String[] first = BlockingIo.readLine(in).split(" ");
            if (first.length != 3 || !first[1].startsWith("/")) {
                throw new IOException("malformed request: the connection is closed");
            }
            Map<String, String> headers = BlockingIo.readHeaders(in);
            in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            String body = answer(first[0].equals("PUT"), first[1].substring(1), headers, ledger.msAt(in.receivedNanos()));
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private String answer(boolean write, String key, Map<String, String> headers, double receivedMs) throws InterruptedException {
        String query = headers.getOrDefault("x-correlation-id", "");
        String idempotencyKey = "";
        for (String fact : headers.getOrDefault("x-facts", "").split(",")) {
            idempotencyKey = fact.startsWith("k=") ? fact.substring(2) : idempotencyKey;
        }
        Double firstMs = idempotencyKey.isEmpty() ? null : firstUseMs.putIfAbsent(idempotencyKey, ledger.nowMs());
        boolean repeat = firstMs != null && receivedMs < firstMs + cacheConfig.dedupWindowMs();
        ledger.executions.add(new Ledger.Execution(query, "origin", receivedMs, idempotencyKey, !repeat, false));
        slots.acquire();
        try {
            Thread.sleep(Math.round(config.workMs()));
        } finally {
            slots.release();
        }
        ConcurrentLinkedQueue<CacheEmulator> missedAt = misses.remove(query);
        if (write) {
            allCaches.forEach(cache -> cache.drop(key));
        } else if (missedAt != null) {
            missedAt.forEach(cache -> cache.store(key));
        }
        return value(key, query, write ? 0 : cacheConfig.valueBytes());
    }
}
