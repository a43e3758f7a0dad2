package dappleseam.lab.emulator;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.peer.Blocking;
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
public final class CacheEmulator extends Peer {
    private static final int MOST_PARTS = 8;
    private static final int LONGEST = 4 << 20;
    private static final long SILENT_STEP_MS = 10;

    private final Caches rules;
    private final Ledger ledger;
    private final Origin origin;
    private final SplittableRandom random;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<String, Boolean> held;
    private volatile String uid;
    private volatile double startedAt = Double.NEGATIVE_INFINITY;
    private volatile boolean silent;
    private volatile double slower = 1;
    private volatile double errs;
    private volatile double spoils;

    /** Is notified of cache misses. */
    interface Origin {
        void missed(String query, CacheEmulator at);
    }

    CacheEmulator(String uid, Caches rules, Ledger ledger, Origin origin, long seed) throws IOException {
        this.uid = uid;
        this.rules = rules;
        this.ledger = ledger;
        this.origin = origin;
        random = new SplittableRandom(seed);
        slots = new Semaphore(rules.slots(), true);
        held = Collections.synchronizedMap(new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > rules.keys();
            }
        });
    }

    String uid() {
        return uid;
    }

    void hold(String key) {
        held.put(key, true);
    }

    void drop(String key) {
        held.remove(key);
    }

    /** Acts as a newly started process, possibly under a new name: cold and empty. */
    void restart(String newUid) throws IOException {
        uid = newUid;
        held.clear();
        startedAt = ledger.nowMs();
        ledger.started.add(new Ledger.Started(uid, startedAt, true));
        comeBack();
    }

    void silent(boolean now) {
        silent = now;
    }

    void slower(double multiple) {
        slower = multiple;
    }

    void errs(double share) {
        errs = share;
    }

    void spoils(double share) {
        spoils = share;
    }

    /** Current share of the full capacity, which grows after a cold start. */
    private double share() {
        double age = (ledger.nowMs() - startedAt) / 1000;
        return age >= rules.warmS() ? 1 : rules.coldFrom() + (1 - rules.coldFrom()) * age / rules.warmS();
    }

    private boolean by(double chance) {
        synchronized (random) {
            return random.nextDouble() < chance;
        }
    }

    @Override
    void serve(TimedInput in, OutputStream out) throws IOException, InterruptedException {
        if (connections() > rules.connections()) {
            return;
        }
        while (true) {
            String[] words = command(in);
            String answer = answer(words, ledger.msAt(in.receivedNanos()));
            while (silent) {
                Thread.sleep(SILENT_STEP_MS); // a machine that is cut off sends nothing, and continues once it is connected again
                in.available(); // updates the last time without input, by which later input is stamped: the proxy must not be blamed for a late read
            }
            out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static String[] command(InputStream in) throws IOException {
        String head = Blocking.line(in);
        if (!head.matches("\\*[1-8]")) {
            throw new IOException("malformed command: the connection is closed");
        }
        String[] words = new String[Math.min(MOST_PARTS, head.charAt(1) - '0')];
        for (int i = 0; i < words.length; i++) {
            String length = Blocking.line(in);
            if (!length.matches("\\$\\d{1,7}") || Integer.parseInt(length.substring(1)) > LONGEST) {
                throw new IOException("malformed command");
            }
            words[i] = new String(in.readNBytes(Integer.parseInt(length.substring(1))), StandardCharsets.ISO_8859_1);
            Blocking.line(in);
        }
        return words;
    }

    private String answer(String[] words, double cameAt) throws InterruptedException {
        if (words[0].equals("PING")) {
            return "+PONG\r\n";
        }
        if (!words[0].equals("C.GET") || words.length != 4) {
            return "-SYNTAX\r\n";
        }
        String query = words[2];
        boolean full = waiting.incrementAndGet() > rules.slots() + rules.queue();
        try {
            ledger.executions.add(new Ledger.Execution(query, uid, cameAt, "", !full, full));
            if (full) {
                return "-BUSY\r\n";
            }
            slots.acquire();
            try {
                Thread.sleep(Math.round(rules.workMs() * slower / share()));
            } finally {
                slots.release();
            }
        } finally {
            waiting.decrementAndGet();
        }
        if (by(errs)) {
            return "-ERR failed\r\n";
        }
        if (by(spoils)) {
            return "*3\r\n$12\r\nno such length\r\n";
        }
        if (held.get(words[1]) == null) {
            origin.missed(query, this);
            return "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
        }
        String value = OriginEmulator.value(words[1], query, rules.valueBytes());
        return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n";
    }
}
