package dappleseam.servers;

import dappleseam.query.Backend;
import dappleseam.query.Command;
import dappleseam.query.ConnectionPolicy;
import dappleseam.query.Execution;
import dappleseam.query.ExecutionResult;
import dappleseam.query.LargeValueReceiver;
import dappleseam.query.Slots;
import dappleseam.query.WriteProgress;
import dappleseam.router.Outcome;
import dappleseam.wire.BufferChain;
import dappleseam.wire.IoLoop;
import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.ParseStatus;
import dappleseam.wire.RespMessage;
import dappleseam.wire.RespReader;
import dappleseam.wire.RespWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Function;
import org.xnio.StreamConnection;

/** One cache node and this proxy's RESP connections to it. Commands on a connection are pipelined; the node replies in order. */
public final class CacheNode implements Backend {
    /** Bulk strings in a reply: the value, its status, the load report. */
    private static final int REPLY_PARTS = 3;
    /** Time in ms for which only abandoned commands may be unanswered on a connection; then it is considered dead. */
    private static final double ABANDONED_TIMEOUT_MS = 2500;
    /** Time in ms after a reply in which a duplicate of it may arrive, while there have been corrupted replies. */
    private static final double DUPLICATE_REPLY_MS = 15;
    /** Longest plausible round-trip time in ms: a connection that took longer to open was delayed in this process. */
    private static final double MAX_ROUND_TRIP_MS = 2;

    private final IoLoop loop;
    private final InetSocketAddress endpoint;
    private ConnectionPolicy policy;
    private final Slots<Connection> connections = new Slots<>();
    private boolean retired;

    public CacheNode(IoLoop loop, InetSocketAddress endpoint, ConnectionPolicy policy) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.policy = policy;
    }

    @Override
    public void begin(Execution execution) {
        Connection best = null;
        for (Connection c : connections.all()) {
            if (c.hasRoom() && (best == null || c.load() < best.load()) && c.isReusable()) {
                best = c;
            }
        }
        boolean shared = policy.preferSharing() && policy.reuseStats().isSharingSafe(loop.nowMs());
        if (best == null || best.load() > 0 && !shared && loop.mayConnect()) {
            best = new Connection();
            best.waiting.add(execution);
            best.connect();
        } else {
            best.send(execution);
        }
    }

    @Override
    public WriteProgress stopWaiting(Execution execution) {
        for (Connection c : connections.all()) {
            if (c.cancelUnsent(execution)) {
                return WriteProgress.INCOMPLETE;
            }
            for (SentCommand sent : c.sent) {
                if (sent.execution == execution) {
                    return c.stopWaiting(sent);
                }
            }
        }
        return WriteProgress.INCOMPLETE;
    }

    @Override
    public boolean cancelUnsent(Execution execution) {
        for (Connection c : connections.all()) {
            if (c.cancelUnsent(execution)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void setPolicy(ConnectionPolicy newPolicy) {
        policy = newPolicy;
    }

    @Override
    public void closeIdle() {
        for (Connection c : connections.all()) {
            if (c.link != null && c.load() == 0) {
                c.close();
            }
        }
    }

    @Override
    public void failWaiting() {
        for (Connection c : connections.all()) {
            c.failUnwritten("the node is draining or gone");
            c.failWaiting("the node is draining or gone");
        }
    }

    @Override
    public void retire() {
        retired = true;
        closeIdle();
        failWaiting();
    }

    /**
     * Whether a reply arrives too early to belong to a command that was sent before the previous reply came: it is then a duplicate of that
     * reply. No genuine reply takes less than a round trip, for which the time to connect is an estimate unless this thread itself was late.
     */
    static boolean isTooEarly(double sentAt, double lastRepliedAt, double connectMs, double now) {
        return sentAt <= lastRepliedAt && now - sentAt < Math.min(connectMs, MAX_ROUND_TRIP_MS);
    }

    /** A command that was queued for output, with its byte range in the connection's output. */
    private record SentCommand(Execution execution, long startOffset, long endOffset, double sentAtMs) {}

    private final class Connection implements LargeValueReceiver.Connection {
        /** Executions waiting for the connection to open. */
        final ArrayDeque<Execution> waiting = new ArrayDeque<>();
        /** Commands queued or written and not answered, in order. */
        final ArrayDeque<SentCommand> sent = new ArrayDeque<>();
        /** Commands queued whose last byte is not known to be written, in order. */
        private final ArrayDeque<SentCommand> unwritten = new ArrayDeque<>();
        private final LargeValueReceiver largeValues = new LargeValueReceiver(loop, this);
        private final RespReader reader = new RespReader(loop.pool(), LargeValueHandler.MAX_BYTES, largeValues);
        private final int slot = connections.put(this);
        private Link link;
        private double idleSince;
        private final double connectStartedAt = loop.nowMs();
        private double connectMs;
        private double lastReplyAt;
        /** Whether the reply being received was expected when its large value began. */
        private boolean isLargeReplyExpected;
        /** How long the connection had been idle before the first unanswered command; below 0 if it was not idle. */
        private double idleBeforeReuseMs = -1;
        /** Closes the connection when it fires; cancelled by activity. */
        private IoLoop.PendingTask closeTimer = () -> { };

        int load() {
            return waiting.size() + sent.size();
        }

        /**
         * Whether another command may be sent on this connection. Not while the next reply belongs to an abandoned command: the new one would
         * wait for what was too slow. And not directly after a reply while replies have recently been corrupted: a duplicate of it would be
         * taken for the new command's reply.
         */
        boolean hasRoom() {
            boolean mayBeDuplicated = load() == 0 && link != null && loop.nowMs() - lastReplyAt < DUPLICATE_REPLY_MS
                    && !policy.reuseStats().isSharingSafe(loop.nowMs());
            boolean isWritten = link == null || link.out().size() == 0; // a command queued behind unwritten bytes could not be taken back
            return load() < policy.maxCommandsPerConnection() && !mayBeDuplicated && isWritten
                    && (sent.isEmpty() || !sent.peekFirst().execution.hasEnded());
        }

        /** Whether an idle connection can be reused; closes it if input or a close has arrived since the last reply. */
        boolean isReusable() {
            if (load() > 0 || link == null) {
                return true;
            }
            double idle = loop.nowMs() - idleSince;
            if (!link.hasNoInput() || !policy.reuseStats().mayReuse(idle)) {
                close();
                return false;
            }
            idleBeforeReuseMs = idle;
            return true;
        }

        void connect() {
            loop.connect(endpoint, policy.connectTimeoutMs(), this::connected, this::connectFailed);
        }

        private void connected(StreamConnection connection) {
            link = loop.createLink(connection, this);
            connectMs = loop.nowMs() - connectStartedAt;
            link.resume();
            while (!waiting.isEmpty() && !link.isClosed()) {
                Execution next = waiting.peek(); // stays queued meanwhile: checking its client may read the next query
                boolean mayBegin = next.mayBegin(); // its client may have disconnected while the connection was opening
                if (waiting.remove(next) && mayBegin) {
                    send(next);
                }
            }
            if (!link.isClosed()) {
                scheduleIdleClose();
            }
        }

        private void connectFailed(String cause) {
            connections.free(slot);
            failWaiting(cause);
        }

        void send(Execution e) {
            closeTimer.cancelTask();
            if (link == null) {
                waiting.add(e);
                return;
            }
            long startOffset = link.bytesQueued();
            try {
                write(e.command, Math.max(1, Math.round(e.deadlineMs - loop.nowMs())), link.out());
            } catch (RuntimeException fault) { // a partly written command must not be followed by another
                sent.add(new SentCommand(e, startOffset, Long.MAX_VALUE, loop.nowMs()));
                disconnected("internal error: " + fault);
                return;
            }
            SentCommand entry = new SentCommand(e, startOffset, link.bytesQueued(), loop.nowMs());
            sent.add(entry);
            unwritten.add(entry);
            link.flush();
        }

        @Override
        public void flushed() {
            reportWritten();
        }

        private void reportWritten() {
            while (!unwritten.isEmpty() && unwritten.peek().endOffset <= link.bytesWritten()) {
                unwritten.poll().execution.written();
            }
        }

        private static void write(Command command, long timeoutMs, BufferChain to) {
            RespWriter.array(to, command.isWrite() ? 5 : 4);
            RespWriter.bulk(to, command.isWrite() ? "C.SET" : "C.GET");
            RespWriter.bulk(to, command.key());
            RespWriter.bulk(to, command.id());
            RespWriter.bulk(to, command.factsWithTimeout(timeoutMs));
            if (command.isWrite()) {
                RespWriter.bulk(to, command.value());
            }
        }

        /** Withdraws an execution whose command is not completely written; only the last one can be. Returns whether it was withdrawn. */
        boolean cancelUnsent(Execution execution) {
            if (waiting.remove(execution)) {
                return true;
            }
            SentCommand newest = sent.peekLast();
            if (newest == null || newest.execution != execution || link.bytesWritten() >= newest.endOffset) {
                return false;
            }
            sent.removeLast();
            unwritten.remove(newest);
            if (link.bytesWritten() == newest.startOffset) { // all unwritten bytes belong to it
                link.dropUnwritten();
                scheduleIdleClose();
            } else {
                disconnected("a partly written command was cancelled"); // otherwise the rest would still be written
            }
            return true;
        }

        /**
         * Abandons a command. Other commands on the connection are not affected; if the policy asks for it, a connection that carries only
         * this command is closed.
         */
        WriteProgress stopWaiting(SentCommand target) {
            if (policy.closeToCancel() && sent.size() == 1) {
                WriteProgress writeProgress = link.bytesWritten() >= target.endOffset ? WriteProgress.COMPLETE : WriteProgress.INCOMPLETE;
                sent.clear();
                close();
                return writeProgress;
            }
            if (sent.peek() == target && lastReplyAt <= target.sentAtMs) {
                // Stops later commands from sharing connections: if this reply never comes, all commands behind it are lost.
                policy.reuseStats().recordFailure(loop.nowMs());
            }
            closeTimer.cancelTask();
            closeTimer = loop.scheduleAt(loop.nowMs() + ABANDONED_TIMEOUT_MS, this::closeIfAbandoned);
            return WriteProgress.COMPLETE; // bytes not written yet are still sent
        }

        private void closeIfAbandoned() {
            if (!largeValues.isReceiving() && sent.stream().allMatch(s -> s.execution.hasEnded())) {
                close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            while (bytes.hasRemaining() && !link.isClosed()) {
                ParseStatus parsed = reader.read(bytes);
                if (parsed == ParseStatus.MALFORMED) {
                    replyInvalid("malformed RESP");
                } else if (parsed == ParseStatus.DONE) {
                    handleReply(reader.takeMessage());
                }
            }
            if (!link.isClosed()) {
                scheduleIdleClose();
            }
        }

        private boolean isReplyExpected() {
            return !sent.isEmpty() && !isTooEarly(sent.peek().sentAtMs, lastReplyAt, connectMs, loop.nowMs());
        }

        @Override
        public Execution answeringExecution() {
            // Stops later commands from sharing connections: if the client reads slowly, all commands behind this value wait.
            policy.reuseStats().recordFailure(loop.nowMs());
            isLargeReplyExpected = isReplyExpected();
            return isLargeReplyExpected ? sent.peek().execution : null;
        }

        @Override
        public Link link() {
            return link;
        }

        /** Reads on only if other commands wait behind the abandoned value. */
        @Override
        public void abandoned() {
            if (sent.size() > 1) {
                largeValues.resume();
            } else if (!link.isClosed()) {
                sent.clear();
                close();
            }
        }

        private void handleReply(RespMessage message) {
            ExecutionResult result = isLargeReplyExpected || isReplyExpected() ? resultOf(message) : null;
            if (result == null) { // an unexpected or invalid reply: what follows cannot be trusted either
                message.release();
                replyInvalid("invalid or unexpected reply");
                return;
            }
            reportReuse(false);
            lastReplyAt = loop.nowMs();
            isLargeReplyExpected = false;
            Execution done = sent.poll().execution;
            largeValues.complete();
            if (message.isFirstBulkLarge()) {
                result.release();
            } else {
                done.end(result);
            }
            message.release();
        }

        /** The result that a reply stands for; null if it is well-formed RESP but not a valid reply to a command. */
        private static ExecutionResult resultOf(RespMessage message) {
            if (message.type == '*' && message.bulks.size() == REPLY_PARTS) {
                return message.bulk(0) == null ? ExecutionResult.of(Outcome.MISS) : ExecutionResult.completed(message.takeBulk(0));
            }
            if (!message.isError()) {
                return null;
            }
            return message.line.equals("BUSY") ? ExecutionResult.of(Outcome.FULL)
                    : message.line.startsWith("ERR ") ? ExecutionResult.erred(message.line) : null;
        }

        /** If the connection is idle, closes it now or, before the node would, by a timer. */
        private void scheduleIdleClose() {
            if (load() > 0) {
                return;
            }
            closeTimer.cancelTask();
            idleSince = loop.nowMs();
            if (retired) {
                close();
            } else {
                closeTimer = loop.scheduleAt(loop.nowMs() + policy.idleTimeoutMs(), this::closeIfAbandoned);
            }
        }

        private void reportReuse(boolean hasFailed) {
            if (idleBeforeReuseMs >= 0) {
                policy.reuseStats().recordReuse(idleBeforeReuseMs, hasFailed);
                idleBeforeReuseMs = -1;
            }
        }

        @Override
        public void disconnected(String cause) {
            if (!sent.isEmpty()) {
                policy.reuseStats().recordFailure(loop.nowMs());
                reportReuse(true);
            }
            close();
            failSent(complete -> ExecutionResult.connectionFailed(complete ? WriteProgress.COMPLETE : WriteProgress.INCOMPLETE, cause));
            failWaiting(cause);
        }

        /** An invalid reply: the node is alive and completely written commands may have run, but the connection cannot be trusted any more. */
        private void replyInvalid(String cause) {
            policy.reuseStats().recordFailure(loop.nowMs());
            close();
            failSent(complete -> complete ? ExecutionResult.erred(cause) : ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
            failWaiting(cause);
        }

        void close() {
            reportWritten();
            closeTimer.cancelTask();
            reader.release();
            connections.free(slot);
            link.close();
            largeValues.fail();
        }

        /** Ends all unanswered commands; the result depends on whether the command was completely written. */
        private void failSent(Function<Boolean, ExecutionResult> toResult) {
            while (!sent.isEmpty()) {
                SentCommand s = sent.poll();
                s.execution.end(toResult.apply(link.bytesWritten() >= s.endOffset));
            }
        }

        /** Ends the last command if no byte of it has been written; only the last one can be in that state. */
        void failUnwritten(String cause) {
            SentCommand newest = sent.peekLast();
            if (newest != null && link.bytesWritten() <= newest.startOffset && cancelUnsent(newest.execution)) {
                newest.execution.end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
            }
        }

        void failWaiting(String cause) {
            while (!waiting.isEmpty()) {
                waiting.poll().end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
            }
        }
    }
}
