package dappleseam.lab.check;

import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What peers and clients saw, each thing once, with its time in ms; any thread writes. */
public final class Ledger {
    /** An execution whose last byte came to a node, at {@code atMs} at the earliest; {@code effect} where it ran and was no repeat that is dropped. */
    public record Execution(String query, String node, double atMs, String mark, boolean effect, boolean turnedAway) {}

    /** {@code TAKEN_DOWN}: had no answer in time, and the scenario killed or stopped its proxy meanwhile. */
    public enum Verdict { COMPLETED, REJECTED, ABORTED, SPOILT, CUT, UNANSWERED, LEFT, TAKEN_DOWN }

    /**
     * A query as its client saw it: written by {@code sentMs}, its end noted at {@code endedMs}; its last byte came at {@code cameMs} at the earliest. {@code answers} counts whole answers to it;
     * {@code port}: of the proxy that had it last, 0 for none.
     */
    public record Query(String id, String grade, boolean write, double sentMs, double timeoutMs, double cameMs, double endedMs,
                        Verdict verdict, int answers, int port) {
        /** By a client that is never late. */
        public Query(String id, String grade, boolean write, double sentMs, double timeoutMs, double endedMs, Verdict verdict, int answers, int port) {
            this(id, grade, write, sentMs, timeoutMs, endedMs, endedMs, verdict, answers, port);
        }
    }

    /** The list service has told of a node's state. */
    public record Told(String node, String state, double atMs) {}

    /** A cache's process started; 0 for one that is warm from the beginning. */
    public record Started(String node, double atMs, boolean cold) {}

    /** Lateness in ms of the laboratory's own threads from which it is noted by itself. */
    public static final double HELD_UP_MS = 50;

    /** The laboratory was late itself until {@code atMs}: of that, and of the time since the last one, it waited for a processor and collected garbage so long. */
    public record HeldUp(double atMs, double lateMs, double waitedMs, double collectedMs) {}

    public final Queue<HeldUp> heldUps = new ConcurrentLinkedQueue<>();
    public final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
    public final Queue<Query> queries = new ConcurrentLinkedQueue<>();
    public final Queue<Told> told = new ConcurrentLinkedQueue<>();
    public final Queue<Started> started = new ConcurrentLinkedQueue<>();
    public final Queue<String> notes = new ConcurrentLinkedQueue<>();
    /** A call came to the list service. */
    public record ListCall(double atMs, boolean answered) {}

    public final Queue<ListCall> callsForList = new ConcurrentLinkedQueue<>();
    public final AtomicInteger listCalls = new AtomicInteger();
    /** By a proxy's port, when the scenario took it down, and when it was there again. */
    private final Set<Integer> avoided = ConcurrentHashMap.newKeySet();
    private final Queue<double[]> outages = new ConcurrentLinkedQueue<>();
    private final long bornNanos = System.nanoTime();

    private volatile double latenessMs;

    /** The laboratory was so late itself; what it times can be off by as much. */
    public synchronized void late(double ms) {
        latenessMs = Math.max(latenessMs, ms);
    }

    /** The most it was late so far. */
    public double latenessMs() {
        return latenessMs;
    }

    /** The scenario takes a proxy down, or stops it, until {@link #isBack}. */
    public void isDown(int port) {
        outages.add(new double[] {port, nowMs(), Double.POSITIVE_INFINITY});
    }

    public void isBack(int port) {
        outages.forEach(o -> o[2] = o[0] == port ? Math.min(o[2], nowMs()) : o[2]);
    }

    /** It is about to end, as a front sees: nobody comes to it any more. */
    public void isAvoided(int port) {
        avoided.add(port);
    }

    /** Whether a client may go there now. */
    public boolean takesClients(int port) {
        return !avoided.contains(port) && !wasDown(port, nowMs(), nowMs());
    }

    public boolean wasDown(int port, double fromMs, double toMs) {
        return outages.stream().anyMatch(o -> o[0] == port && o[1] <= toMs && o[2] >= fromMs);
    }

    public boolean wasAnyDown(double fromMs, double toMs) {
        return outages.stream().anyMatch(o -> o[1] <= toMs && o[2] >= fromMs);
    }

    /** Ms since the ledger began. */
    public double nowMs() {
        return msAt(System.nanoTime());
    }

    /** The same for a time of {@link System#nanoTime}. */
    public double msAt(long nanos) {
        return (nanos - bornNanos) / 1e6;
    }
}
