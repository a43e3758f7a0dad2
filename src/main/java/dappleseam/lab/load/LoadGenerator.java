package dappleseam.lab.load;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.Ledger.Outcome;
import dappleseam.lab.emulator.OriginEmulator;
import dappleseam.lab.fault.ConnectionFaultInjector;
import dappleseam.lab.peer.BlockingIo;
import dappleseam.lab.peer.TimedInput;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Semantics;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Generates load as an open loop: arrival times are drawn in advance, so that a slow proxy does not reduce its own load. */
public final class LoadGenerator {
    /** Maximum number of open queries. A run that reaches it reports that, because its load is no longer an open loop. */
    private static final int MAX_OPEN_QUERIES = 600;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** Time in ms for which an answer is awaited beyond the statement timeout. It tells a late answer, of a proxy that was not scheduled for seconds, from a missing one. */
    private static final int LATE_ANSWER_WAIT_MS = 30_000;
    private static final double MAX_LATENCY_MS = 600_000;

    /** The first attempt of a query. {@code disconnectsAfterMs}: infinite for a client that waits for the answer. */
    public record Arrival(double atMs, Grade grade, String key, double disconnectsAfterMs) {}

    private final Scenario scenario;
    private final Ledger ledger;
    private final List<Integer> proxyPorts;
    /** Idle connections by proxy; with a common pool, the proxy that answered last would get nearly all of a light load. */
    private final Map<Integer, ConcurrentLinkedDeque<Client>> idleClients = new TreeMap<>();
    private final Map<String, Histogram> latencies = new TreeMap<>();
    private final Semaphore openPermits = new Semaphore(MAX_OPEN_QUERIES);
    private int nextProxy;
    private volatile boolean reachedLimit;

    private record Client(Socket socket, TimedInput in, int port) {}

    public LoadGenerator(Scenario scenario, Ledger ledger, List<Integer> proxyPorts) {
        this.scenario = scenario;
        this.ledger = ledger;
        this.proxyPorts = proxyPorts;
        proxyPorts.forEach(port -> idleClients.put(port, new ConcurrentLinkedDeque<>()));
        scenario.load().grades().forEach(g -> latencies.put(g.name(), new ConcurrentHistogram((long) MAX_LATENCY_MS * 1000, 3)));
    }

    /** All first attempts of a scenario; they depend on the scenario and its seed only. */
    public static List<Arrival> drawArrivals(Scenario scenario) {
        SplittableRandom random = new SplittableRandom(scenario.seed());
        double[] cumulative = new double[Math.min(scenario.load().keys(), 100_000)];
        double sum = 0;
        for (int i = 0; i < cumulative.length; i++) {
            sum += Math.pow(i + 1, -scenario.load().skew());
            cumulative[i] = sum;
        }
        List<Arrival> arrivals = new ArrayList<>();
        double shares = scenario.load().grades().stream().mapToDouble(Grade::share).sum();
        for (double at = interarrivalMs(random, scenario); at < scenario.seconds() * 1000; at += interarrivalMs(random, scenario)) {
            double pick = random.nextDouble() * shares;
            Grade grade = scenario.load().grades().get(0);
            for (Grade g : scenario.load().grades()) {
                grade = pick >= 0 ? g : grade;
                pick -= g.share();
            }
            int rank = java.util.Arrays.binarySearch(cumulative, random.nextDouble() * sum);
            int key = Math.min(cumulative.length - 1, rank < 0 ? -rank - 1 : rank);
            double disconnects = random.nextDouble() < grade.disconnectShare() ? random.nextDouble() * grade.timeoutMs()
                    : Double.POSITIVE_INFINITY;
            arrivals.add(new Arrival(at, grade, String.format("%016x", key * 0x9e3779b97f4a7c15L), disconnects));
        }
        return arrivals;
    }

    private static double interarrivalMs(SplittableRandom random, Scenario scenario) {
        return -Math.log(1 - random.nextDouble()) * 1000 / scenario.load().perSecond();
    }

    /** Generates the load of the scenario and waits until the outcome of every query is known. */
    public void generate() throws InterruptedException {
        ExecutorService clients = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(null, work, "client", 128 << 10);
            thread.setDaemon(true);
            return thread;
        });
        List<Arrival> arrivals = drawArrivals(scenario);
        double startMs = ledger.nowMs();
        int number = 0;
        for (Arrival arrival : arrivals) {
            double wait = startMs + arrival.atMs() - ledger.nowMs();
            if (wait > 0) {
                Thread.sleep((long) wait, (int) (wait % 1 * 999_999));
            }
            if (!openPermits.tryAcquire()) {
                reachedLimit = true;
                openPermits.acquire();
            }
            int id = number++;
            clients.execute(() -> {
                try {
                    ledger.recordLateness(ledger.nowMs() - startMs - arrival.atMs());
                    runQuery(arrival, id, startMs + arrival.atMs());
                } finally {
                    openPermits.release();
                }
            });
        }
        clients.shutdown();
        if (!clients.awaitTermination(60, TimeUnit.SECONDS)) {
            ledger.notes.add("clients did not finish: the outcomes are incomplete");
        }
        idleClients.values().forEach(all -> all.forEach(LoadGenerator::close));
    }

    /** Sends a query with the retries that its grade allows. */
    private void runQuery(Arrival arrival, int number, double intendedMs) {
        String idempotencyKey = arrival.grade().semantics() == Semantics.DEDUPLICATED ? "m" + number : "";
        for (int attempt = 0; attempt <= arrival.grade().retries(); attempt++) {
            Answer answer = sendAttempt(arrival, "q" + number + "-" + attempt, idempotencyKey, attempt == 0 ? intendedMs : ledger.nowMs());
            boolean mayRetry = answer.outcome == Outcome.REJECTED
                    || answer.outcome == Outcome.ABORTED && arrival.grade().semantics() == Semantics.IDEMPOTENT;
            if (answer.outcome == Outcome.COMPLETED) {
                latencies.get(arrival.grade().name()).recordValue((long) Math.min(MAX_LATENCY_MS * 1000,
                        (ledger.nowMs() - intendedMs) * 1000));
            }
            if (!mayRetry) {
                return;
            }
            try {
                Thread.sleep(Math.min(2000, answer.retryAfterMs));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private record Answer(Outcome outcome, long retryAfterMs) {}

    private Answer sendAttempt(Arrival a, String id, String idempotencyKey, double intendedMs) {
        Grade grade = a.grade();
        Client client = null;
        double startedMs = intendedMs;
        double writtenMs = intendedMs;
        Answer answer = new Answer(Outcome.UNANSWERED, 0);
        try {
            for (int tries = 0; ; tries++) {
                int port = chooseProxy();
                Client reused = tries == 0 ? idleClients.get(port).pollFirst() : null;
                client = reused != null ? reused : connect(port);
                double waitMs = Math.min(grade.timeoutMs(), a.disconnectsAfterMs());
                client.socket.setSoTimeout((int) Math.ceil(waitMs) + (a.disconnectsAfterMs() < grade.timeoutMs() ? 0 : LATE_ANSWER_WAIT_MS));
                String facts = "c=" + grade.name() + ",d=" + Math.round(grade.timeoutMs()) + (idempotencyKey.isEmpty() ? "" : ",k=" + idempotencyKey);
                startedMs = ledger.nowMs();
                int first;
                try {
                    client.socket.getOutputStream().write(encodeCommand(grade.write() ? new String[] {"C.SET", a.key(), id, facts, "value"}
                            : new String[] {"C.GET", a.key(), id, facts}));
                    writtenMs = ledger.nowMs();
                    first = client.in.read();
                } catch (SocketTimeoutException e) {
                    throw e;
                } catch (IOException e) {
                    first = -1;
                }
                // The proxy closed an idle connection: try again on a new one, unless the proxy itself was taken down meanwhile.
                if (first < 0 && reused != null && !ledger.wasDown(reused.port, startedMs, ledger.nowMs())) {
                    close(client);
                    continue;
                }
                answer = readAnswer(first, client.in, a, id);
                break;
            }
        } catch (SocketTimeoutException e) {
            answer = new Answer(a.disconnectsAfterMs() < grade.timeoutMs() ? Outcome.LEFT : Outcome.UNANSWERED, 0);
        } catch (IOException e) {
            answer = new Answer(Outcome.CUT, 0);
        }
        double endedMs = ledger.nowMs();
        boolean late = endedMs > startedMs + grade.timeoutMs();
        boolean lost = answer.outcome == Outcome.CUT || answer.outcome == Outcome.UNANSWERED || answer.outcome == Outcome.SPOILT;
        if ((late || lost) && (client == null ? ledger.wasAnyDown(startedMs - CONNECT_TIMEOUT_MS, endedMs)
                : ledger.wasDown(client.port, startedMs, endedMs))) {
            answer = new Answer(Outcome.TAKEN_DOWN, 0);
        }
        boolean isComplete = answer.outcome == Outcome.COMPLETED || answer.outcome == Outcome.REJECTED
                || answer.outcome == Outcome.ABORTED;
        double lastByteMs = isComplete ? ledger.msAt(client.in.receivedNanos()) : endedMs;
        ledger.queries.add(new Ledger.Query(id, grade.name(), grade.write(), writtenMs, grade.timeoutMs(), lastByteMs, endedMs,
                answer.outcome, isComplete ? 1 : 0, client == null ? 0 : client.port));
        if (isComplete) {
            idleClients.get(client.port).addFirst(client);
        } else if (client != null) {
            close(client);
        }
        return answer;
    }

    /** Round robin over the available proxies, like a load balancer with health checks. */
    private synchronized int chooseProxy() {
        int tries = 0;
        int port;
        do {
            port = proxyPorts.get(nextProxy++ % proxyPorts.size());
        } while (!ledger.acceptsClients(port) && ++tries < proxyPorts.size());
        return port;
    }

    private Client connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), CONNECT_TIMEOUT_MS);
        return new Client(socket, new TimedInput(socket.getInputStream(), System.nanoTime()), port);
    }

    private static void close(Client client) {
        try {
            client.socket.close();
        } catch (IOException e) {
            return; // not used any more
        }
    }

    private static byte[] encodeCommand(String... parts) {
        StringBuilder command = new StringBuilder("*" + parts.length + "\r\n");
        for (String part : parts) {
            command.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
        }
        return command.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads the rest of an answer after its first byte; only the value for this query counts as completed. */
    private Answer readAnswer(int first, InputStream in, Arrival a, String id) throws IOException {
        if (first < 0) {
            return new Answer(Outcome.CUT, 0);
        }
        String line = BlockingIo.readLine(in);
        if (first == '-') {
            boolean busy = line.startsWith("BUSY");
            String ms = line.substring(Math.min(line.length(), 5));
            return new Answer(busy ? Outcome.REJECTED : Outcome.ABORTED, ms.matches("\\d{1,6}") ? Long.parseLong(ms) : 20);
        }
        if (first != '$' || !line.matches("\\d{1,7}")) {
            return new Answer(Outcome.SPOILT, 0);
        }
        int length = Integer.parseInt(line);
        byte[] value = in.readNBytes(length);
        if (value.length < length || in.readNBytes(2).length < 2) {
            return new Answer(Outcome.CUT, 0);
        }
        byte[] expected = OriginEmulator.value(a.key(), id, a.grade().write() ? 0 : scenario.caches().valueBytes()).getBytes(StandardCharsets.ISO_8859_1);
        boolean isExpected = Arrays.equals(value, expected);
        if (!isExpected && isGarbledByInjector(value, expected)) { // the proxy cannot detect this and is not at fault
            ledger.notes.add("the fault injector garbled a byte of the value of " + id);
            isExpected = true;
        }
        return new Answer(isExpected ? Outcome.COMPLETED : Outcome.SPOILT, 0);
    }

    /** Whether the value differs from the expected one in a single byte, by exactly the bits that a planned GARBLE flips. */
    private boolean isGarbledByInjector(byte[] value, byte[] expected) {
        int at = Arrays.mismatch(value, expected);
        boolean isPlanned = scenario.faults().stream().anyMatch(fault -> fault.effect() == Scenario.FaultEffect.GARBLE && fault.location() != Scenario.FaultLocation.CLIENTS);
        return isPlanned && value.length == expected.length && (value[at] ^ expected[at]) == ConnectionFaultInjector.GARBLE_MASK
                && Arrays.equals(value, at + 1, value.length, expected, at + 1, expected.length);
    }

    /** Time in microseconds from the intended send to the answer, including retries, by grade. */
    public Map<String, Histogram> latencies() {
        return latencies;
    }

    /** Whether the maximum number of open queries was reached, so that the load was not an open loop any more. */
    public boolean reachedLimit() {
        return reachedLimit;
    }
}
