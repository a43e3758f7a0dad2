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
    private static final int AT_ONCE = 4;
    private static final int CLIENTS = 5;
    private static final int CROWD = 40;
    private static final long KILL_MORE_MS = 700;
    /** Time in ms by which an answer may come after its query's timeout without being a breach. */
    private static final long LATE_MS = 500;
    /** Time in ms after which a written query counts as read by the proxy if the connection then ends in order; unread queries end in a reset. */
    private static final long READ_BY_MS = 50;
    private static final long[] DEADLINES_MS = {200, 500, 1000, 3000};
    private static final double NANOS_PER_MS = 1e6;

    @TempDir
    Path folder;

    private List<String> played(int seeds, long killEarlyMs) throws Exception {
        ExecutorService plays = Executors.newFixedThreadPool(AT_ONCE);
        List<Future<List<String>>> found = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + seeds; seed++) {
            int one = seed;
            found.add(plays.submit(() -> new Play(one, Files.createDirectory(folder.resolve("seed-" + one)), killEarlyMs).run()));
        }
        List<String> breaches = new ArrayList<>();
        for (Future<List<String>> play : found) {
            breaches.addAll(play.get());
        }
        plays.shutdown();
        return breaches;
    }

    @Test
    void noSeriesOfSignalsCostsAnAnswer() throws Exception {
        assertThat(played(SEEDS, 0)).isEmpty();
    }

    /** Shows that the check can fail: a kill before the platform's time leaves queries without an answer. */
    @Test
    void aKillBeforeItsTimeIsSeen() throws Exception {
        assertThat(played(4, KILL_MORE_MS)).anyMatch(breach -> breach.contains("had no answer"));
    }

    /** The run of one seed, with a process, peers and clients of its own. */
    private static final class Play {
        private final int seed;
        private final Path home;
        private final long killEarlyMs;
        private final SplittableRandom random;
        private final Sockets sockets = new Sockets();
        private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
        private final List<String> breaches = java.util.Collections.synchronizedList(new ArrayList<>());
        private final AtomicInteger answered = new AtomicInteger();
        private volatile boolean hangs;
        private volatile boolean isEnding;
        private long longestMs;

        Play(int seed, Path home, long killEarlyMs) throws IOException {
            this.seed = seed;
            this.home = home;
            this.killEarlyMs = killEarlyMs;
            random = new SplittableRandom(seed);
        }

        List<String> run() throws Exception {
            settings(DEADLINES_MS[random.nextInt(DEADLINES_MS.length)]);
            sockets.start(home, "").client();
            List<Thread> threads = new ArrayList<>();
            threads.add(start(() -> answer(sockets.cache, Sockets.hit("value"))));
            threads.add(start(() -> answer(sockets.origin, Sockets.ok("value"))));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                SplittableRandom own = random.split();
                clients.add(start(() -> ask(number, own)));
            }
            List<Socket> crowd = new ArrayList<>();
            for (int i = 0; i < CROWD && seed % 3 == 0; i++) {
                crowd.add(new Socket("127.0.0.1", sockets.port));
            }
            Thread.sleep(200 + random.nextInt(600));
            hangs = random.nextBoolean();
            signals();
            for (Thread client : clients) {
                client.join(TimeUnit.SECONDS.toMillis(Sockets.PATIENCE_S));
            }
            threads.forEach(Thread::interrupt);
            for (Socket one : crowd) {
                one.close();
            }
            sockets.close();
            if (answered.get() == 0) {
                breaches.add("seed " + seed + ": nothing was answered at all");
            }
            return breaches;
        }

        private void settings(long newLongestMs) {
            longestMs = newLongestMs;
            double seconds = longestMs / 1000.0;
            sockets.grades = """
                    {"name":"read","semantics":"read_like","sloTimeS":%s,"statementTimeoutS":%s},
                    {"name":"put","semantics":"non_idempotent","sloTimeS":%s,"statementTimeoutS":%s}""".formatted(seconds / 2, seconds, seconds / 2, seconds);
        }

        /** Sends SIGHUP with new files and SIGTERM once or more; the kill follows the shortest timeout of these settings, to the ms. */
        private void signals() throws Exception {
            int count = 1 + random.nextInt(4);
            int ends = random.nextInt(count);
            long shortest = longestMs;
            long told = 0;
            for (int i = 0; i < count || told == 0; i++) {
                if (i == ends || told > 0 && random.nextBoolean()) {
                    isEnding = true;
                    sockets.signal("TERM");
                    told = told == 0 ? System.nanoTime() : told;
                } else {
                    settings(DEADLINES_MS[random.nextInt(DEADLINES_MS.length)]);
                    shortest = Math.min(shortest, longestMs);
                    Path next = home.resolve("next.json");
                    Files.copy(sockets.config(Files.createDirectories(home.resolve("next")), ""), next, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    Files.move(next, home.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
                    sockets.hangUp();
                }
                Thread.sleep(random.nextInt(150));
            }
            long killAt = told + (long) ((shortest + KILL_MORE_MS - killEarlyMs) * NANOS_PER_MS);
            while (System.nanoTime() < killAt && sockets.program.isAlive()) {
                Thread.sleep(1);
            }
            sockets.program.destroyForcibly().waitFor();
        }

        private void answer(Sockets.Peer peer, String text) throws Exception {
            SplittableRandom own = new SplittableRandom(seed);
            while (true) {
                Sockets.Told told = peer.told.take();
                if (!told.words().get(0).equals("closed")) {
                    executions.computeIfAbsent(id(told.words()), id -> new AtomicInteger()).incrementAndGet();
                    if (!hangs || own.nextInt(4) > 0) {
                        try {
                            told.answer(text);
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
        private void ask(int client, SplittableRandom own) throws Exception {
            for (int number = 0; ; ) {
                Sockets.Client connection;
                try {
                    connection = new Sockets.Client(new Socket("127.0.0.1", sockets.port));
                } catch (IOException e) {
                    return;
                }
                for (boolean open = true; open; number++) {
                    open = askOnce(connection, seed + "-" + client + "-" + number, own);
                    Thread.sleep(own.nextInt(20));
                }
                if (isEnding) {
                    return;
                }
            }
        }

        /** Sends one query; returns whether the connection is still open, and records a breach. */
        private boolean askOnce(Sockets.Client connection, String id, SplittableRandom own) {
            boolean put = own.nextInt(5) == 0;
            long waits = 20 + own.nextInt((int) Math.min(1000, longestMs));
            long sent = System.nanoTime();
            try {
                if (put) {
                    connection.send("C.SET", String.format("%016x", own.nextLong()), id, "c=put,d=" + waits, "v");
                } else {
                    connection.send("C.GET", String.format("%016x", own.nextLong()), id, "c=read,d=" + waits);
                }
                connection.answer();
                answered.incrementAndGet();
                double took = (System.nanoTime() - sent) / NANOS_PER_MS;
                if (took > waits + LATE_MS) {
                    breaches.add("seed " + seed + ": " + id + " was answered after " + took + " of " + waits + " ms");
                }
                if (put && executions(id) > 1) {
                    breaches.add("seed " + seed + ": " + id + " ran twice");
                }
                return true;
            } catch (IOException e) {
                boolean orderly = "ended".equals(e.getMessage());
                double openMs = (System.nanoTime() - sent) / NANOS_PER_MS;
                if (executions(id) > 0 || orderly && openMs > READ_BY_MS) {
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

        private interface Work {
            void run() throws Exception;
        }

        private Thread start(Work work) {
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
