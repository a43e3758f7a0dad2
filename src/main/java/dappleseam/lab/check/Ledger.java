package dappleseam.lab.check;

import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Thread-safe record of what the emulated services and the clients observed during a run. Times are in ms since it was created. */
public final class Ledger {
    /**
     * An execution that reached a node completely. {@code atMs}: the earliest possible time of its last byte; {@code effect}: whether it was executed, that is, neither
     * refused nor dropped as a duplicate; {@code refused}: whether the node was too busy.
     */
    public record Execution(String query, String node, double atMs, String idempotencyKey, boolean effect, boolean refused) {}

    /** How a query ended for its client. {@code TAKEN_DOWN}: no answer in time, while the scenario had killed or stopped its proxy. */
    public enum Outcome { COMPLETED, REJECTED, ABORTED, SPOILT, CUT, UNANSWERED, LEFT, TAKEN_DOWN }

    /**
     * A query as its client saw it. {@code sentMs}: when it had been written; {@code endedMs}: when its end was noticed; {@code lastByteMs}: the earliest possible time of
     * the last byte of its answer; {@code answers}: the number of complete answers; {@code port}: of the last proxy that it was sent to, 0 for none.
     */
    public record Query(String id, String grade, boolean write, double sentMs, double timeoutMs, double lastByteMs, double endedMs,
                        Outcome outcome, int answers, int port) {
        /** For a client that notices the last byte without delay. */
        public Query(String id, String grade, boolean write, double sentMs, double timeoutMs, double endedMs, Outcome outcome, int answers, int port) {
            this(id, grade, write, sentMs, timeoutMs, endedMs, endedMs, outcome, answers, port);
        }
    }

    /** The list service has sent a node's state to a proxy. */
    public record ListUpdate(String node, String state, double atMs) {}

    /** The start of a cache's process. {@code cold}: whether it starts empty and with reduced capacity; {@code atMs}: 0 for one that is warm from the beginning. */
    public record CacheStart(String node, double atMs, boolean cold) {}

    /** Lateness in ms of the laboratory's own threads from which on it is recorded as a stall. */
    public static final double STALL_MS = 50;

    /** A stall of the laboratory itself that ended at {@code atMs}, with the time spent waiting for a processor and collecting garbage since the stall before. */
    public record Stall(double atMs, double lateMs, double waitedMs, double gcMs) {}

    public final Queue<Stall> stalls = new ConcurrentLinkedQueue<>();
    public final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
    public final Queue<Query> queries = new ConcurrentLinkedQueue<>();
    public final Queue<ListUpdate> listUpdates = new ConcurrentLinkedQueue<>();
    public final Queue<CacheStart> cacheStarts = new ConcurrentLinkedQueue<>();
    public final Queue<String> notes = new ConcurrentLinkedQueue<>();
    /** A call to the list service. {@code answered}: false if it was refused by the limit of calls. */
    public record ListCall(double atMs, boolean answered) {}

    public final Queue<ListCall> listCallLog = new ConcurrentLinkedQueue<>();
    public final AtomicInteger listCallCount = new AtomicInteger();
    /** Ports of proxies that are about to stop. */
    private final Set<Integer> draining = ConcurrentHashMap.newKeySet();
    /** Each entry: a proxy's port, when the scenario took the proxy down, and when it was available again. */
    private final Queue<double[]> outages = new ConcurrentLinkedQueue<>();
    private final long startNanos = System.nanoTime();

    private volatile double maxLatenessMs;

    /** Records that the laboratory itself was late; its measured times can be off by as much. */
    public synchronized void recordLateness(double ms) {
        maxLatenessMs = Math.max(maxLatenessMs, ms);
    }

    /** The greatest lateness so far. */
    public double maxLatenessMs() {
        return maxLatenessMs;
    }

    /** The scenario takes the proxy at that port down, or stops it, until {@link #markUp}. */
    public void markDown(int port) {
        outages.add(new double[] {port, nowMs(), Double.POSITIVE_INFINITY});
    }

    /** The proxy at that port is available again. */
    public void markUp(int port) {
        outages.forEach(o -> o[2] = o[0] == port ? Math.min(o[2], nowMs()) : o[2]);
    }

    /** The proxy is about to end: as behind a load balancer, no client is sent to it any more. */
    public void markDraining(int port) {
        draining.add(port);
    }

    /** Whether clients may currently be sent to the proxy at that port. */
    public boolean acceptsClients(int port) {
        return !draining.contains(port) && !wasDown(port, nowMs(), nowMs());
    }

    /** Whether the scenario had that proxy down at any time in that period. */
    public boolean wasDown(int port, double fromMs, double toMs) {
        return outages.stream().anyMatch(o -> o[0] == port && o[1] <= toMs && o[2] >= fromMs);
    }

    /** The same for any proxy. */
    public boolean wasAnyDown(double fromMs, double toMs) {
        return outages.stream().anyMatch(o -> o[1] <= toMs && o[2] >= fromMs);
    }

    /** Time in ms since the ledger was created. */
    public double nowMs() {
        return msAt(System.nanoTime());
    }

    /** Converts a time of {@link System#nanoTime}. */
    public double msAt(long nanos) {
        return (nanos - startNanos) / 1e6;
    }
}
