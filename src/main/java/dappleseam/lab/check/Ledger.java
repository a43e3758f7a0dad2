package dappleseam.lab.check;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What peers and clients saw, each thing once, with its time in ms; any thread writes. */
public final class Ledger {
    /** An execution whose last byte came to a node; {@code effect} where it ran and was no repeat that is dropped. */
    public record Execution(String query, String node, double atMs, String mark, boolean effect, boolean turnedAway) {}

    public enum Verdict { COMPLETED, REJECTED, ABORTED, SPOILT, CUT, UNANSWERED, LEFT }

    /** A query as its client saw it; {@code answers} counts whole answers to it. */
    public record Query(String id, String grade, boolean write, double sentMs, double timeoutMs, double endedMs,
                        Verdict verdict, int answers) {}

    /** The list service has told of a node's state. */
    public record Told(String node, String state, double atMs) {}

    /** A cache's process started; 0 for one that is warm from the beginning. */
    public record Started(String node, double atMs, boolean cold) {}

    public final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
    public final Queue<Query> queries = new ConcurrentLinkedQueue<>();
    public final Queue<Told> told = new ConcurrentLinkedQueue<>();
    public final Queue<Started> started = new ConcurrentLinkedQueue<>();
    public final Queue<String> notes = new ConcurrentLinkedQueue<>();
    public final AtomicInteger listCalls = new AtomicInteger();
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

    /** Ms since the ledger began. */
    public double nowMs() {
        return (System.nanoTime() - bornNanos) / 1e6;
    }
}
