package dappleseam.lab.emulator;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.peer.Blocking;
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
public final class OriginEmulator extends Peer implements CacheEmulator.Origin {
    private final Origin rules;
    private final Caches caches;
    private final Ledger ledger;
    private final Semaphore slots;
    /** Caches that missed the key of a query, by the query's identifier; they store the value once the origin has answered. */
    private final Map<String, ConcurrentLinkedQueue<CacheEmulator>> missed = new ConcurrentHashMap<>();
    /** When each idempotency key was first used. */
    private final Map<String, Double> marks = new ConcurrentHashMap<>();
    private volatile List<CacheEmulator> all = List.of();

    OriginEmulator(Origin rules, Caches caches, Ledger ledger) throws IOException {
        this.rules = rules;
        this.caches = caches;
        this.ledger = ledger;
        slots = new Semaphore(rules.slots(), true);
    }

    void caches(List<CacheEmulator> listed) {
        all = listed;
    }

    /** The value for that key and query, distinct from that of any other query, so that a client can verify it. */
    public static String value(String key, String query, int bytes) {
        String start = key + '/' + query + '/';
        return start + "v".repeat(Math.max(0, bytes - start.length()));
    }

    @Override
    public void missed(String query, CacheEmulator at) {
        missed.computeIfAbsent(query, q -> new ConcurrentLinkedQueue<>()).add(at);
    }

    @Override
    void serve(TimedInput in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            String[] first = Blocking.line(in).split(" ");
            if (first.length != 3 || !first[1].startsWith("/")) {
                throw new IOException("malformed request: the connection is closed");
            }
            Map<String, String> headers = Blocking.headers(in);
            in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            String body = answer(first[0].equals("PUT"), first[1].substring(1), headers, ledger.msAt(in.receivedNanos()));
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private String answer(boolean write, String key, Map<String, String> headers, double cameAt) throws InterruptedException {
        String query = headers.getOrDefault("x-correlation-id", "");
        String mark = "";
        for (String fact : headers.getOrDefault("x-facts", "").split(",")) {
            mark = fact.startsWith("k=") ? fact.substring(2) : mark;
        }
        Double before = mark.isEmpty() ? null : marks.putIfAbsent(mark, ledger.nowMs());
        boolean repeat = before != null && cameAt < before + caches.windowMs();
        ledger.executions.add(new Ledger.Execution(query, "origin", cameAt, mark, !repeat, false));
        slots.acquire();
        try {
            Thread.sleep(Math.round(rules.workMs()));
        } finally {
            slots.release();
        }
        ConcurrentLinkedQueue<CacheEmulator> lacking = missed.remove(query);
        if (write) {
            all.forEach(cache -> cache.drop(key));
        } else if (lacking != null) {
            lacking.forEach(cache -> cache.hold(key));
        }
        return value(key, query, write ? 0 : caches.valueBytes());
    }
}
