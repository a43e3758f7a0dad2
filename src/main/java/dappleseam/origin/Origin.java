package dappleseam.origin;

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
import dappleseam.wire.HttpResponseReader;
import dappleseam.wire.IoLoop;
import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.ParseStatus;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;

/** The origin server, over HTTP/1.1 with one exchange at a time on each connection. */
public final class Origin implements Backend {
    /** Maximum bytes of a value in the output queue; more is added when the origin has taken them. */
    private static final int MAX_QUEUED_BYTES = 64 << 10;

    private final IoLoop loop;
    private final InetSocketAddress endpoint;
    private ConnectionPolicy policy;
    private final Slots<Connection> connections = new Slots<>();
    private final ReplyUniqueness replyUniqueness = new ReplyUniqueness();
    private boolean retired;

    public Origin(IoLoop loop, InetSocketAddress endpoint, ConnectionPolicy policy) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.policy = policy;
    }

    @Override
    public void begin(Execution execution) {
        for (Connection c : connections.all()) { // always the first free one, so that the last ones become idle and are closed
            if (c.current == null && c.permits(execution.command) && c.isReusable()) {
                c.send(execution);
                return;
            }
        }
        Connection c = new Connection(execution);
        c.connectAttempt = loop.connect(endpoint, policy.connectTimeoutMs(), c::connected, c::connectFailed);
    }

    @Override
    public WriteProgress stopWaiting(Execution execution) {
        for (Connection c : connections.all()) {
            if (c.current == execution) {
                WriteProgress writeProgress = c.writeProgress();
                c.current = null;
                c.close();
                return writeProgress;
            }
        }
        return WriteProgress.COMPLETE; // nothing shows that it was not written
    }

    @Override
    public boolean cancelUnsent(Execution execution) {
        for (Connection c : connections.all()) {
            if (c.current == execution && c.writeProgress() == WriteProgress.INCOMPLETE) {
                c.current = null;
                c.close();
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
            if (c.current == null) {
                c.close();
            }
        }
    }

    @Override
    public void failWaiting() {
        for (Connection c : connections.all()) {
            if (c.link == null || c.current != null && c.link.bytesWritten() <= c.startOffset) {
                c.close();
                c.end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, "the origin is draining or gone"));
            }
        }
    }

    @Override
    public void retire() {
        retired = true;
        closeIdle();
        failWaiting();
    }

    private final class Connection implements LargeValueReceiver.Connection {
        private final LargeValueReceiver largeValues = new LargeValueReceiver(loop, this);
        private final HttpResponseReader reader = new HttpResponseReader(loop.pool(), LargeValueHandler.MAX_BYTES, largeValues);
        /** Bytes already queued of the value being sent. */
        private long valueBytesQueued;
        private IoLoop.PendingTask connectAttempt = () -> { };
        private IoLoop.PendingTask closeTimer = () -> { };
        private final int slot = connections.put(this);
        private Link link;
        private Execution current;
        private double idleSince;
        private final ReplyHistory history = new ReplyHistory();
        /** How long the connection had been idle before the unanswered request; below 0 for the first request. */
        private double idleBeforeReuseMs = -1;
        /** Byte range of the current request in the connection's output; the end is {@link Long#MAX_VALUE} until all of it is queued. */
        private long startOffset;
        private long endOffset;

        Connection(Execution first) {
            current = first;
        }

        private void connected(StreamConnection connection) {
            link = loop.createLink(connection, this);
            link.resume();
            if (current.mayBegin()) {
                send(current);
            } else if (!link.isClosed()) { // its client may have disconnected while the connection was opening
                current = null;
                if (retired) {
                    close();
                } else {
                    becomeIdle();
                }
            }
        }

        /** Waits for the next request, and is closed shortly before the origin would close it. */
        private void becomeIdle() {
            idleSince = loop.nowMs();
            closeTimer = loop.scheduleAt(loop.nowMs() + policy.idleTimeoutMs(), this::close);
        }

        private void connectFailed(String cause) {
            connections.free(slot);
            end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
        }

        void send(Execution e) {
            closeTimer.cancelTask();
            current = e;
            startOffset = link.bytesQueued();
            endOffset = Long.MAX_VALUE;
            try {
                write(e, Math.max(1, Math.round(e.deadlineMs - loop.nowMs())), link.out());
                valueBytesQueued = 0;
                queueValue();
            } catch (RuntimeException | Error fault) { // a partly written request must not be followed by another
                disconnected("internal error: " + fault);
                return;
            }
            link.flush();
        }

        /** Queues the next part of the value; the query keeps the only full copy of it. */
        private void queueValue() {
            BufferChain value = current.command.value();
            valueBytesQueued += value == null ? 0 : link.out().copyRange(value, valueBytesQueued, MAX_QUEUED_BYTES);
            if (value == null || valueBytesQueued == value.size()) {
                endOffset = link.bytesQueued();
            }
        }

        private static void write(Execution e, long timeoutMs, BufferChain to) {
            Command command = e.command;
            to.put((command.isWrite() ? "PUT /" : "GET /") + command.key() + " HTTP/1.1\r\nHost: origin\r\n"
                    + "X-Correlation-Id: " + command.id() + "\r\nX-Facts: " + command.factsWithTimeout(timeoutMs) + "\r\n"
                    + (command.isWrite() ? "Content-Length: " + command.value().size() + "\r\n\r\n" : "\r\n"));
        }

        @Override
        public void flushed() {
            if (current != null && writeProgress() == WriteProgress.COMPLETE) {
                current.written();
            } else if (current != null && endOffset == Long.MAX_VALUE) {
                try {
                    queueValue();
                } catch (RuntimeException | Error fault) { // less was sent than Content-Length announced
                    disconnected("internal error: " + fault);
                    return;
                }
                link.flush();
            }
        }

        @Override
        public int readAllowance(long passBytes) {
            return largeValues.readAllowance(passBytes);
        }

        @Override
        public Execution answeringExecution() {
            return current;
        }

        @Override
        public Link link() {
            return link;
        }

        @Override
        public void abandoned() {
            current = null;
            close();
        }

        WriteProgress writeProgress() {
            return link != null && link.bytesWritten() >= endOffset ? WriteProgress.COMPLETE : WriteProgress.INCOMPLETE;
        }

        @Override
        public void received(ByteBuffer bytes) {
            ParseStatus parsed = reader.read(bytes);
            if (parsed == ParseStatus.MALFORMED || current == null) {
                failUnproven("malformed or unexpected response");
            } else if (parsed == ParseStatus.DONE) {
                handleResponse(!bytes.hasRemaining());
            }
        }

        /** Whether the reply to that command could be told from a copy of an earlier one. */
        boolean permits(Command next) {
            return !(next.isWrite() && history.hasReceipt() && !replyUniqueness.permitsSecondWrite());
        }

        /** Whether an idle connection can be reused; closes it if input or a close has arrived since the last response. */
        boolean isReusable() {
            idleBeforeReuseMs = loop.nowMs() - idleSince;
            if ((history.isEmpty() || replyUniqueness.permitsReuse(loop.nowMs())) && link.hasNoInput() && policy.reuseStats().mayReuse(idleBeforeReuseMs)) {
                return true;
            }
            close();
            return false;
        }

        /**
         * Handles a complete response; a copy of an earlier one does not count. If not {@code clean}, bytes followed it: the response counts,
         * but the connection is closed.
         */
        private void handleResponse(boolean clean) {
            boolean isLarge = largeValues.isReceiving();
            boolean isWhole = clean && reader.staysOpen() && !retired && endOffset != Long.MAX_VALUE;
            ExecutionResult result = takeResult();
            if (isLarge) {
                history.recordLarge();
            } else if (!history.recordIfDistinct(current.command, result)) {
                replyUniqueness.recordEqualReply(loop.nowMs());
                result.release();
                failUnproven("a copy of an earlier response");
                return;
            }
            Execution done = current;
            current = null;
            if (ReplyHistory.hasContent(result)) {
                replyUniqueness.recordProven(done.command, ReplyHistory.fingerprint(result), loop.nowMs());
            }
            largeValues.complete();
            reportReuse(false);
            if (isWhole && history.permitsReuse() && !history.hasReplyWithoutValue() && replyUniqueness.permitsReuse(loop.nowMs())) {
                becomeIdle();
            } else {
                close();
            }
            done.end(result);
        }

        /** The result that the complete response stands for. */
        private ExecutionResult takeResult() {
            int status = reader.status();
            boolean neverRan = reader.header("x-unprocessed").equals("1") && (status == 503 || status == 504);
            BufferChain body = reader.takeBody();
            if (status == 200) {
                return ExecutionResult.completed(body);
            }
            body.release();
            return neverRan ? ExecutionResult.of(Outcome.FULL) : ExecutionResult.erred("status " + status);
        }

        /** What has come is not the response to the current request, which may have run if it was written whole. */
        private void failUnproven(String cause) {
            boolean complete = writeProgress() == WriteProgress.COMPLETE;
            close();
            end(complete ? ExecutionResult.erred(cause) : ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
        }

        private void reportReuse(boolean hasFailed) {
            if (idleBeforeReuseMs >= 0) {
                policy.reuseStats().recordReuse(idleBeforeReuseMs, hasFailed);
                idleBeforeReuseMs = -1;
            }
        }

        /** A body without a length is complete on an orderly close only, never on a reset, so that no client gets part of a value. */
        @Override
        public void endOfStream() {
            if (current != null && reader.isCompleteAtClose()) {
                handleResponse(true);
            } else {
                disconnected("closed by the peer");
            }
        }

        @Override
        public void disconnected(String cause) {
            WriteProgress writeProgress = writeProgress();
            if (current != null) {
                reportReuse(true);
            }
            close();
            end(ExecutionResult.connectionFailed(writeProgress, cause));
        }

        void close() {
            connectAttempt.cancelTask();
            closeTimer.cancelTask();
            reader.release();
            connections.free(slot);
            if (link != null) {
                link.close();
            }
            largeValues.fail();
        }

        private void end(ExecutionResult result) {
            if (current != null) {
                Execution e = current;
                current = null;
                e.end(result);
            }
        }
    }
}
