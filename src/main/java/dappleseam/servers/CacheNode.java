package dappleseam.servers;

import dappleseam.query.Backend;
import dappleseam.query.Command;
import dappleseam.query.ConnectionPolicy;
import dappleseam.query.Execution;
import dappleseam.query.ExecutionResult;
import dappleseam.query.LargeValueReceiver;
import dappleseam.query.ReplyHistory;
import dappleseam.query.ReplyUniqueness;
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

/**
 * One cache node and this proxy's RESP connections to it. A connection carries one command at a time, or pipelined ones, which the node answers in order,
 * where no further connection may be opened. A reply counts only if it is no copy of an earlier one (see {@link ReplyHistory}).
 */
public final class CacheNode implements Backend {
    /** Bulk strings in a reply: the value, its status, the load report. */
    private static final int REPLY_PARTS = 3;
    /** Time in ms for which only abandoned commands may be unanswered on a connection; then it is considered dead. */
    private static final double ABANDONED_TIMEOUT_MS = 2500;

    private final IoLoop loop;
    private final InetSocketAddress endpoint;
    private ConnectionPolicy policy;
    private final Slots<Connection> connections = new Slots<>();
    private final ReplyUniqueness replyUniqueness = new ReplyUniqueness();
    private final FenceOrder fenceOrder = new FenceOrder();
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
            if (c.hasRoom(execution.command) && (best == null || c.load() < best.load()) && c.isReusable()) {
                best = c;
            }
        }
        if (best == null || best.load() > 0 && loop.mayConnect()) {
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
        return WriteProgress.COMPLETE; // nothing shows that it was not written
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

    /** A command that was queued for output, with its byte range in the connection's output. */
    private record SentCommand(Execution execution, long startOffset, long endOffset) {}

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
        private final ReplyHistory history = new ReplyHistory();
        /** A reply that no command waited for, or a copy of an earlier one, has begun: the connection is to be closed. */
        private boolean isReplyUnexpected;
        private boolean hasHadLargeReply;
        /** The command behind which a PING was sent whose answer is due; null if there is none. */
        private SentCommand fenced;
        private double fencedAtMs;
        private double fencedCommandMs;
        /** The reply to the first command of {@link #sent}, which equals an earlier one; it counts once the PING behind it is answered. */
        private ExecutionResult unprovenReply;
        /** How long the connection had been idle before the first unanswered command; below 0 if it was not idle. */
        private double idleBeforeReuseMs = -1;
        /** Closes the connection when it fires; cancelled by activity. */
        private IoLoop.PendingTask closeTimer = () -> { };

        int load() {
            return waiting.size() + sent.size();
        }

        /**
         * Whether another command may be sent on this connection. Not while the next reply belongs to an abandoned command: the new one would
         * wait for what was too slow. And not after a reply of which a copy would not be recognized.
         */
        boolean hasRoom(Command next) {
            boolean isWritten = link == null || link.out().size() == 0; // a command queued behind unwritten bytes could not be taken back
            return load() < policy.maxCommandsPerConnection() && isWritten && fenced == null && permitsReuse()
                    && !(next.isWrite() && hasWrite() && !replyUniqueness.permitsSecondWrite())
                    && (sent.isEmpty() || !sent.peekFirst().execution.hasEnded());
        }

        private boolean hasWrite() {
            return history.hasReceipt() || sent.stream().anyMatch(s -> s.execution.command.isWrite());
        }

        /** Whether a copy of an earlier reply would not be taken for the reply to a further command. */
        private boolean permitsReuse() {
            return history.isEmpty() || history.permitsReuse()
                    && (fenceOrder.isInOrder() || !history.hasReplyWithoutValue() && replyUniqueness.permitsReuse(loop.nowMs()));
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
            } catch (RuntimeException | Error fault) { // a partly written command must not be followed by another
                sent.add(new SentCommand(e, startOffset, Long.MAX_VALUE));
                disconnected("internal error: " + fault);
                return;
            }
            SentCommand entry = new SentCommand(e, startOffset, link.bytesQueued());
            sent.add(entry);
            unwritten.add(entry);
            if (policy.allowsProbes() && fenced == null && fenceOrder.beginTest()) {
                queueFence(entry);
            }
            link.flush();
        }

        /** Queues a PING: commands are answered in order, so that exactly the replies to those before it come before its answer. */
        private void queueFence(SentCommand behind) {
            RespWriter.array(link.out(), 1);
            RespWriter.bulk(link.out(), "PING");
            fenced = behind;
            fencedAtMs = loop.nowMs();
            fencedCommandMs = 0;
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
                fenced = fenced == newest ? null : fenced; // a PING behind it is dropped, too
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
                if (!link.isClosed() && (isReplyUnexpected || sent.isEmpty() && fenced == null && !reader.isBetweenMessages())) {
                    replyInvalid("unexpected reply");
                }
            }
            if (!link.isClosed()) {
                scheduleIdleClose();
            }
        }

        @Override
        public int readAllowance(long passBytes) {
            return largeValues.readAllowance(passBytes);
        }

        @Override
        public Execution answeringExecution() {
            isReplyUnexpected = sent.isEmpty() || hasHadLargeReply;
            hasHadLargeReply = true;
            history.recordLarge();
            return isReplyUnexpected ? null : sent.peek().execution;
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
            if (fenced != null && message.type == '+' && message.line.equals("PONG")) {
                handleFenceReply();
                return;
            }
            ExecutionResult result = sent.isEmpty() || isReplyUnexpected ? null : resultOf(message);
            if (result == null) { // an unexpected or invalid reply: what follows cannot be trusted either
                message.release();
                replyInvalid("invalid or unexpected reply");
                return;
            }
            message.release();
            if (message.isFirstBulkLarge()) {
                reportReuse(false);
                sent.poll(); // its execution ended when the value began
                result.release();
                largeValues.complete();
            } else if (history.recordIfDistinct(sent.peek().execution.command, result)) {
                if (history.hasReplyWithoutValue()) {
                    fenceOrder.need();
                }
                replyProven(result);
            } else if (canBeFenced()) {
                unprovenReply = result;
                queueFence(sent.peek());
                link.flush();
            } else {
                if (!fenceOrder.isInOrder()) {
                    fenceOrder.need();
                    replyUniqueness.recordEqualReply(loop.nowMs());
                }
                result.release();
                replyInvalid("a copy of an earlier reply");
            }
        }

        /** Whether a PING can prove the reply to the only command, which is still wanted. */
        private boolean canBeFenced() {
            return fenceOrder.isInOrder() && fenced == null && sent.size() == 1 && !sent.peek().execution.hasEnded();
        }

        private void replyProven(ExecutionResult reply) {
            reportReuse(false);
            releaseUnprovenReply(); // it was a copy
            SentCommand answered = sent.poll();
            if (answered == fenced) {
                fencedCommandMs = loop.nowMs() - fencedAtMs;
            }
            if (ReplyHistory.hasContent(reply)) {
                replyUniqueness.recordProven(answered.execution.command, ReplyHistory.fingerprint(reply), loop.nowMs());
            }
            answered.execution.end(reply);
        }

        /** If a reply was not proven and no other one came before the answer to the PING, it was the command's own. */
        private void handleFenceReply() {
            SentCommand behind = fenced;
            fenced = null;
            if (unprovenReply != null) {
                ExecutionResult proven = unprovenReply;
                unprovenReply = null;
                replyProven(proven);
            } else {
                fenceOrder.recordTest(sent.contains(behind), fencedCommandMs);
            }
        }

        private void releaseUnprovenReply() {
            if (unprovenReply != null) {
                unprovenReply.release();
                unprovenReply = null;
            }
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
            if (retired || !permitsReuse() && fenced == null) {
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
                reportReuse(true);
            }
            close();
            failSent(complete -> ExecutionResult.connectionFailed(complete ? WriteProgress.COMPLETE : WriteProgress.INCOMPLETE, cause));
            failWaiting(cause);
        }

        /** An invalid reply: the node is alive and completely written commands may have run, but the connection cannot be trusted any more. */
        private void replyInvalid(String cause) {
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
            releaseUnprovenReply();
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
