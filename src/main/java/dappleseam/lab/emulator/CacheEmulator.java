package dappleseam.lab.emulator;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.peer.BlockingIo;
import dappleseam.lab.peer.TimedInput;
import dappleseam.lab.scenario.Scenario.Caches;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Emulates a cache node that only stores values: with limited capacity, a cold start, a connection limit, and hits and misses. */
public final class CacheEmulator extends EmulatedServer {
    private static final int MAX_PARTS = 8;
    private static final int MAX_PART_BYTES = 4 << 20;
    private static final long SILENCE_POLL_MS = 10;

    private final Caches config;
    private final Ledger ledger;
    private final MissListener missListener;
    private final SplittableRandom random;
    private final Semaphore slots;
    private final AtomicInteger inProgress = new AtomicInteger();
    private final Map<String, Boolean> storedKeys;
    private volatile String uid;
    private volatile double startedMs = Double.NEGATIVE_INFINITY;
    private volatile boolean silent;
    private volatile double slowdown = 1;
    private volatile double errorShare;
    private volatile double malformedShare;

    /** Is notified of cache misses. */
    interface MissListener {
        void onMiss(String query, CacheEmulator reporter);
    }

    CacheEmulator(String uid, Caches config, Ledger ledger, MissListener missListener, long seed) throws IOException {
        this.uid = uid;
        this.config = config;
        this.ledger = ledger;
        this.missListener = missListener;
        random = new SplittableRandom(seed);
        slots = new Semaphore(config.slots(), true);
        storedKeys = Collections.synchronizedMap(new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > config.keys();
            }
        });
    }

    String uid() {
        return uid;
    }

    void store(String key) {
        storedKeys.put(key, true);
    }

    void drop(String key) {
        storedKeys.remove(key);
    }

    /** Acts as a newly started process, possibly under a new name: cold and empty. */
    void restart(String newUid) throws IOException {
        uid = newUid;
        storedKeys.clear();
        startedMs = ledger.nowMs();
        ledger.cacheStarts.add(new Ledger.CacheStart(uid, startedMs, true));
        listenAgain();
    }

    void setSilent(boolean isSilent) {
        silent = isSilent;
    }

    void setSlowdown(double multiple) {
        slowdown = multiple;
    }

    void setErrorShare(double share) {
        errorShare = share;
    }

    void setMalformedShare(double share) {
        malformedShare = share;
    }

    /** Current share of the full capacity, which grows after a cold start. */
    private double capacityShare() {
        double age = (ledger.nowMs() - startedMs) / 1000;
        return age >= config.warmUpS() ? 1 : config.coldCapacity() + (1 - config.coldCapacity()) * age / config.warmUpS();
    }

    private boolean drawChance(double chance) {
        synchronized (random) {
            return random.nextDouble() < chance;
        }
    }

    @Override
    void serve(TimedInput in, OutputStream out) throws IOException, InterruptedException {
        if (openConnections() > config.connections()) {
            return;
        }
        while (true) {
            String[] parts = readCommand(in);
            String answer = answer(parts, ledger.msAt(in.receivedNanos()));
            while (silent) {
                Thread.sleep(SILENCE_POLL_MS); // a machine that is cut off sends nothing, and continues once it is connected again
                in.available(); // updates the last time without input, by which later input is stamped: the proxy must not be blamed for a late read
            }
            out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static String[] readCommand(InputStream in) throws IOException {
        String head = BlockingIo.readLine(in);
        if (!head.matches("\\*[1-8]")) {
            throw new IOException("malformed command: the connection is closed");
        }
        String[] parts = new String[Math.min(MAX_PARTS, head.charAt(1) - '0')];
        for (int i = 0; i < parts.length; i++) {
            String length = BlockingIo.readLine(in);
            if (!length.matches("\\$\\d{1,7}") || Integer.parseInt(length.substring(1)) > MAX_PART_BYTES) {
                throw new IOException("garbage");
            }
            parts[i] = new String(in.readNBytes(Integer.parseInt(length.substring(1))), StandardCharsets.ISO_8859_1);
            BlockingIo.readLine(in);
        }
        return parts;
    }

    private String answer(String[] parts, double receivedMs) throws InterruptedException {
        if (parts[0].equals("PING")) {
            return "+PONG\r\n";
        }
        if (!parts[0].equals("C.GET") || parts.length != 4) {
            return "-SYNTAX\r\n";
        }
        String query = parts[2];
        boolean full = inProgress.incrementAndGet() > config.slots() + config.queue();
        try {
            ledger.executions.add(new Ledger.Execution(query, uid, receivedMs, "", !full, full));
            if (full) {
                return "-BUSY\r\n";
            }
            slots.acquire();
            try {
                Thread.sleep(Math.round(config.workMs() * slowdown / capacityShare()));
            } finally {
                slots.release();
            }
        } finally {
            inProgress.decrementAndGet();
        }
        if (drawChance(errorShare)) {
            return "-ERR failed\r\n";
        }
        if (drawChance(malformedShare)) {
            return "*3\r\n$12\r\nno such length\r\n";
        }
        if (storedKeys.get(parts[1]) == null) {
            missListener.onMiss(query, this);
            return "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
        }
        String value = OriginEmulator.value(parts[1], query, config.valueBytes());
        return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n";
    }
}
