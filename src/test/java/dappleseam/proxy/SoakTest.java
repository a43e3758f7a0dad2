package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Random series of SIGHUP with new statement timeouts and SIGTERM, with hanging nodes and sometimes many idle connections. Clients use their connections
 * until the kill, which comes as early as the platform allows. {@code -Dsoak.seeds=60} runs sixty seeds, {@code -Dsoak.first=100} starts at seed 100.
 */
class SoakTest {
    private static final int SEEDS = Integer.getInteger("soak.seeds", 12);
    private static final int FIRST = Integer.getInteger("soak.first", 1);
    private static final int CONCURRENT_RUNS = 4;
    private static final int CLIENTS = 5;
    private static final int IDLE_CONNECTIONS = 40;
    private static final long KILL_MARGIN_MS = 700;
    /** Time in ms by which an answer may come after its query's timeout without being a breach. */
    private static final long ALLOWED_LATENESS_MS = 500;
    /** Time in ms after which a written query counts as read by the proxy if the connection then ends in order; unread queries end in a reset. */
    private static final long READ_DELAY_MS = 50;
    private static final long[] TIMEOUTS_MS = {200, 500, 1000, 3000};
    private static final double NANOS_PER_MS = 1e6;

    @TempDir
    Path folder;

    private List<String> runSeeds(int seeds, long killEarlyMs) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(CONCURRENT_RUNS);
        List<Future<List<String>>> found = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + seeds; seed++) {
            int one = seed;
            found.add(executor.submit(() -> new Run(one, Files.createDirectory(folder.resolve("seed-" + one)), killEarlyMs).run()));
        }
        List<String> breaches = new ArrayList<>();
        for (Future<List<String>> play : found) {
            breaches.addAll(play.get());
        }
        executor.shutdown();
        return breaches;
    }

    @Test
    void signalsLoseNoAnswer() throws Exception {
        assertThat(runSeeds(SEEDS, 0)).isEmpty();
    }

    /** Shows that the check can fail: a kill before the platform's time leaves queries without an answer. */
    @Test
    void earlyKillIsDetected() throws Exception {
        assertThat(runSeeds(4, KILL_MARGIN_MS)).anyMatch(breach -> breach.contains("had no answer"));
    }

    /** The run of one seed, with a process, peers and clients of its own. */
    private static final class Run {
        private final int seed;
        private final Path home;
        private final long killEarlyMs;
        private final SplittableRandom random;
        private final ServeFixture fixture = new ServeFixture();
        private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
        private final List<String> breaches = java.util.Collections.synchronizedList(new ArrayList<>());
        private final AtomicInteger answered = new AtomicInteger();
        private volatile boolean hangs;
        private volatile boolean isEnding;
        private long timeoutMs;

        Run(int seed, Path home, long killEarlyMs) throws IOException {
            this.seed = seed;
            this.home = home;
            this.killEarlyMs = killEarlyMs;
            random = new SplittableRandom(seed);
        }

        List<String> run() throws Exception {
            setTimeouts(TIMEOUTS_MS[random.nextInt(TIMEOUTS_MS.length)]);
            fixture.start(home, "").client();
            List<Thread> threads = new ArrayList<>();
            threads.add(start(() -> answer(fixture.cache, ServeFixture.hit("value"))));
            threads.add(start(() -> answer(fixture.origin, ServeFixture.ok("value"))));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                SplittableRandom own = random.split();
                clients.add(start(() -> runClient(number, own)));
            }
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < IDLE_CONNECTIONS && seed % 3 == 0; i++) {
                idle.add(new Socket("127.0.0.1", fixture.port));
            }
            Thread.sleep(200 + random.nextInt(600));
            hangs = random.nextBoolean();
            sendSignals();
            for (Thread client : clients) {
                client.join(TimeUnit.SECONDS.toMillis(ServeFixture.TIMEOUT_S));
            }
            threads.forEach(Thread::interrupt);
            for (Socket one : idle) {
                one.close();
            }
            fixture.close();
            if (answered.get() == 0) {
                breaches.add("seed " + seed + ": nothing was answered at all");
            }
            return breaches;
        }

        private void setTimeouts(long newTimeoutMs) {
            timeoutMs = newTimeoutMs;
            double seconds = timeoutMs / 1000.0;
            fixture.grades = """
                    {"name":"read","semantics":"read_like","sloTimeS":%s,"statementTimeoutS":%s},
                    {"name":"put","semantics":"non_idempotent","sloTimeS":%s,"statementTimeoutS":%s}""".formatted(seconds / 2, seconds, seconds / 2, seconds);
        }

        /** Sends SIGHUP with new files and SIGTERM once or more; the kill follows the shortest timeout of these settings, to the ms. */
        private void sendSignals() throws Exception {
            int count = 1 + random.nextInt(4);
            int ends = random.nextInt(count);
            long shortest = timeoutMs;
            long signalledAt = 0;
            for (int i = 0; i < count || signalledAt == 0; i++) {
                if (i == ends || signalledAt > 0 && random.nextBoolean()) {
                    isEnding = true;
                    fixture.signal("TERM");
                    signalledAt = signalledAt == 0 ? System.nanoTime() : signalledAt;
                } else {
                    setTimeouts(TIMEOUTS_MS[random.nextInt(TIMEOUTS_MS.length)]);
                    shortest = Math.min(shortest, timeoutMs);
                    Path next = home.resolve("next.json");
                    Files.copy(fixture.config(Files.createDirectories(home.resolve("next")), ""), next, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    Files.move(next, home.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
                    fixture.sendHangUp();
                }
                Thread.sleep(random.nextInt(150));
            }
            long killAt = signalledAt + (long) ((shortest + KILL_MARGIN_MS - killEarlyMs) * NANOS_PER_MS);
            while (System.nanoTime() < killAt && fixture.program.isAlive()) {
                Thread.sleep(1);
            }
            fixture.program.destroyForcibly().waitFor();
        }

        private void answer(ServeFixture.StubPeer peer, String text) throws Exception {
            SplittableRandom own = new SplittableRandom(seed);
            while (true) {
                ServeFixture.Received received = peer.received.take();
                if (!received.elements().get(0).equals("closed")) {
                    executions.computeIfAbsent(id(received.elements()), id -> new AtomicInteger()).incrementAndGet();
                    if (!hangs || own.nextInt(4) > 0) {
                        try {
                            received.answer(text);
                        } catch (IOException e) {
                            continue; // the proxy has stopped waiting
                        }
                    }
                }
            }
        }

        private static String id(List<String> words) {
            return words.size() > 2 && words.get(0).startsWith("C.") ? words.get(2)
                    : words.stream().filter(w -> w.startsWith("X-Correlation-Id: ")).map(w -> w.substring(18)).findFirst().orElse("");
        }

        /** Sends queries on one connection while it stays open; opens new ones until the process gets SIGTERM. */
        private void runClient(int client, SplittableRandom own) throws Exception {
            for (int number = 0; ; ) {
                ServeFixture.Client connection;
                try {
                    connection = new ServeFixture.Client(new Socket("127.0.0.1", fixture.port));
                } catch (IOException e) {
                    return;
                }
                for (boolean open = true; open; number++) {
                    open = sendOne(connection, seed + "-" + client + "-" + number, own);
                    Thread.sleep(own.nextInt(20));
                }
                if (isEnding) {
                    return;
                }
            }
        }

        /** Sends one query; returns whether the connection is still open, and records a breach. */
        private boolean sendOne(ServeFixture.Client connection, String id, SplittableRandom own) {
            boolean put = own.nextInt(5) == 0;
            long waitMs = 20 + own.nextInt((int) Math.min(1000, timeoutMs));
            long sentAt = System.nanoTime();
            try {
                if (put) {
                    connection.send("C.SET", String.format("%016x", own.nextLong()), id, "c=put,d=" + waitMs, "v");
                } else {
                    connection.send("C.GET", String.format("%016x", own.nextLong()), id, "c=read,d=" + waitMs);
                }
                connection.answer();
                answered.incrementAndGet();
                double tookMs = (System.nanoTime() - sentAt) / NANOS_PER_MS;
                if (tookMs > waitMs + ALLOWED_LATENESS_MS) {
                    breaches.add("seed " + seed + ": " + id + " was answered after " + tookMs + " of " + waitMs + " ms");
                }
                if (put && executions(id) > 1) {
                    breaches.add("seed " + seed + ": " + id + " ran twice");
                }
                return true;
            } catch (IOException e) {
                boolean orderly = "ended".equals(e.getMessage());
                double openMs = (System.nanoTime() - sentAt) / NANOS_PER_MS;
                if (executions(id) > 0 || orderly && openMs > READ_DELAY_MS) {
                    breaches.add("seed " + seed + ": " + id + " had no answer (" + e.getMessage() + " after " + openMs + " ms, "
                            + executions(id) + " executions)");
                }
                return false;
            }
        }

        private int executions(String id) {
            AtomicInteger count = executions.get(id);
            return count == null ? 0 : count.get();
        }

        private interface Task {
            void run() throws Exception;
        }

        private Thread start(Task work) {
            Thread thread = new Thread(() -> {
                try {
                    work.run();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } catch (Exception e) {
                    breaches.add("seed " + seed + ": " + e);
                }
            });
            thread.setDaemon(true);
            thread.start();
            return thread;
        }
    }
}
