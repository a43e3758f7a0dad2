package dappleseam.servers;

import dappleseam.query.Backend;
import dappleseam.query.Command;
import dappleseam.query.ConnectionPolicy;
import dappleseam.query.ExecutionResult;
import dappleseam.query.Execution;
import dappleseam.query.LargeValueReceiver;
import dappleseam.query.WriteProgress;
import dappleseam.query.Slots;
import dappleseam.router.Outcome;
import dappleseam.wire.BufferChain;
import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import dappleseam.wire.ParseStatus;
import dappleseam.wire.RespMessage;
import dappleseam.wire.RespReader;
import dappleseam.wire.RespWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Function;
import org.xnio.StreamConnection;

/** One cache node and this proxy's connections to it, on which commands are answered in order. */
public final class CacheNode implements Backend {
    /** Bulk strings of an answer: the value, how it went, the load report. */
    private static final int PARTS = 3;
    /** Time in ms that a connection may owe only answers nobody waits for; then it is taken for dead. */
    private static final double STUCK_MS = 2500;
    /** Time in ms after an answer in which another copy of it may come, where answers are spoilt at all. */
    private static final double COPY_MS = 15;
    /** Longest way there and back in ms: a connection that took longer to come up was kept waiting here. */
    private static final double FAR_MS = 2;

    private final IoLoop loop;
    private final InetSocketAddress endpoint;
    private ConnectionPolicy limits;
    private final Slots<Connection> open = new Slots<>();
    private boolean retired;

    public CacheNode(IoLoop loop, InetSocketAddress endpoint, ConnectionPolicy limits) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.limits = limits;
    }

    @Override
    public void begin(Execution execution) {
        Connection best = null;
        for (Connection c : open.all()) {
            if (c.hasRoom() && (best == null || c.load() < best.load()) && c.isClean()) {
                best = c;
            }
        }
        boolean shared = limits.preferSharing() && limits.reuseStats().isSharingSafe(loop.nowMs());
        if (best == null || best.load() > 0 && !shared && loop.mayConnect()) {
            best = new Connection();
            best.waiting.add(execution);
            best.dial();
        } else {
            best.send(execution);
        }
    }

    @Override
    public WriteProgress stopWaiting(Execution execution) {
        for (Connection c : open.all()) {
            if (c.takeBack(execution)) {
                return WriteProgress.INCOMPLETE;
            }
            for (Sent sent : c.sent) {
                if (sent.execution == execution) {
                    return c.giveUp(sent);
                }
            }
        }
        return WriteProgress.INCOMPLETE;
    }

    @Override
    public boolean cancelUnsent(Execution execution) {
        for (Connection c : open.all()) {
            if (c.takeBack(execution)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void setPolicy(ConnectionPolicy newLimits) {
        limits = newLimits;
    }

    @Override
    public void closeIdle() {
        for (Connection c : open.all()) {
            if (c.link != null && c.load() == 0) {
                c.close();
            }
        }
    }

    @Override
    public void failWaiting() {
        for (Connection c : open.all()) {
            c.endUnbegun("the node drains or is gone");
            c.endWaiting("the node drains or is gone");
        }
    }

    @Override
    public void retire() {
        retired = true;
        closeIdle();
        failWaiting();
    }

    /**
     * Guards a command sent before the last answer came against a copy of that answer, right behind it: none comes back
     * in less time than the way takes, of which the connection's coming up tells unless this thread was late itself.
     */
    static boolean isTooSoon(double sentAt, double lastAnsweredAt, double connectMs, double now) {
        return sentAt <= lastAnsweredAt && now - sentAt < Math.min(connectMs, FAR_MS);
    }

    /** A command that was put out, from one byte of the connection to another. */
    private record Sent(Execution execution, long beginsAt, long endsAt, double at) {}

    private final class Connection implements LargeValueReceiver.Connection {
        /** Not written yet, as the connection is not up. */
        final ArrayDeque<Execution> waiting = new ArrayDeque<>();
        /** Written and not answered, in order. */
        final ArrayDeque<Sent> sent = new ArrayDeque<>();
        /** Put out, and not known yet to be written whole, in order. */
        private final ArrayDeque<Sent> unwritten = new ArrayDeque<>();
        private final LargeValueReceiver inflow = new LargeValueReceiver(loop, this);
        private final RespReader reader = new RespReader(loop.pool(), LargeValueHandler.MAX_BYTES, inflow);
        private final int slot = open.put(this);
        private Link link;
        private double idleSince;
        private final double dialledAt = loop.nowMs();
        private double connectMs;
        private double answeredAt;
        /** The answer that comes now was owed when its long value began. */
        private boolean beginsAnswer;
        /** How long it had been idle when the command went out that has no answer yet; under 0 for all others. */
        private double idleMs = -1;
        /** Closes the connection unless something happens. */
        private IoLoop.PendingTask closing = () -> { };

        int load() {
            return waiting.size() + sent.size();
        }

        /**
         * Behind an answer that nobody waits for any more, a query would wait for what was too slow; right behind the last answer, where
         * some were spoilt of late, a copy of that one would pass for its own.
         */
        boolean hasRoom() {
            boolean mayBeCopied = load() == 0 && link != null && loop.nowMs() - answeredAt < COPY_MS
                    && !limits.reuseStats().isSharingSafe(loop.nowMs());
            boolean isWritten = link == null || link.out().size() == 0; // what is behind a command that stands could be taken back no more
            return load() < limits.maxCommandsPerConnection() && !mayBeCopied && isWritten
                    && (sent.isEmpty() || !sent.peekFirst().execution.hasEnded());
        }

        /** Guards the next query against what came behind the last answer, or an end nobody has read yet. */
        boolean isClean() {
            if (load() > 0 || link == null) {
                return true;
            }
            double idle = loop.nowMs() - idleSince;
            if (!link.hasNoInput() || !limits.reuseStats().mayReuse(idle)) {
                close();
                return false;
            }
            idleMs = idle;
            return true;
        }

        void dial() {
            loop.connect(endpoint, limits.connectTimeoutMs(), this::up, this::failed);
        }

        private void up(StreamConnection connection) {
            link = loop.createLink(connection, this);
            connectMs = loop.nowMs() - dialledAt;
            link.resume();
            while (!waiting.isEmpty() && !link.isClosed()) {
                Execution next = waiting.peek(); // keeps its place meanwhile: the look at its client may read the next query
                boolean mayBegin = next.mayBegin(); // its client may have left while the connection came up
                if (waiting.remove(next) && mayBegin) {
                    send(next);
                }
            }
            if (!link.isClosed()) {
                settled();
            }
        }

        private void failed(String cause) {
            open.free(slot);
            endWaiting(cause);
        }

        void send(Execution e) {
            closing.cancelTask();
            if (link == null) {
                waiting.add(e);
                return;
            }
            long beginsAt = link.bytesQueued();
            try {
                write(e.command, Math.max(1, Math.round(e.deadlineMs - loop.nowMs())), link.out());
            } catch (RuntimeException fault) { // half a command must not be followed by another
                sent.add(new Sent(e, beginsAt, Long.MAX_VALUE, loop.nowMs()));
                disconnected("fault: " + fault);
                return;
            }
            Sent one = new Sent(e, beginsAt, link.bytesQueued(), loop.nowMs());
            sent.add(one);
            unwritten.add(one);
            link.flush();
        }

        @Override
        public void flushed() {
            tellWritten();
        }

        private void tellWritten() {
            while (!unwritten.isEmpty() && unwritten.peek().endsAt <= link.bytesWritten()) {
                unwritten.poll().execution.written();
            }
        }

        private static void write(Command command, long waitMs, BufferChain to) {
            RespWriter.array(to, command.isWrite() ? 5 : 4);
            RespWriter.bulk(to, command.isWrite() ? "C.SET" : "C.GET");
            RespWriter.bulk(to, command.key());
            RespWriter.bulk(to, command.id());
            RespWriter.bulk(to, command.factsWithTimeout(waitMs));
            if (command.isWrite()) {
                RespWriter.bulk(to, command.value());
            }
        }

        /** Whether an execution had not gone out whole, and does no more; it may only be the last one on the connection. */
        boolean takeBack(Execution execution) {
            if (waiting.remove(execution)) {
                return true;
            }
            Sent newest = sent.peekLast();
            if (newest == null || newest.execution != execution || link.bytesWritten() >= newest.endsAt) {
                return false;
            }
            sent.removeLast();
            unwritten.remove(newest);
            if (link.bytesWritten() == newest.beginsAt) { // all that is unwritten is its own
                link.dropUnwritten();
                settled();
            } else {
                disconnected("a command was taken back half-written"); // the rest would go out still
            }
            return true;
        }

        /** The neighbours keep the connection; alone on it, the execution is ended with it where asked. */
        WriteProgress giveUp(Sent given) {
            if (limits.closeToCancel() && sent.size() == 1) {
                WriteProgress reached = link.bytesWritten() >= given.endsAt ? WriteProgress.COMPLETE : WriteProgress.INCOMPLETE;
                sent.clear();
                close();
                return reached;
            }
            if (sent.peek() == given && answeredAt <= given.at) {
                // Guards the next ones against an answer that never comes: all behind it on the connection are lost.
                limits.reuseStats().recordFailure(loop.nowMs());
            }
            closing.cancelTask();
            closing = loop.scheduleAt(loop.nowMs() + STUCK_MS, this::closeIfForgotten);
            return WriteProgress.COMPLETE; // what is not written yet goes out still
        }

        private void closeIfForgotten() {
            if (!inflow.isReceiving() && sent.stream().allMatch(s -> s.execution.hasEnded())) {
                close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            while (bytes.hasRemaining() && !link.isClosed()) {
                ParseStatus progress = reader.read(bytes);
                if (progress == ParseStatus.MALFORMED) {
                    spoilt("not RESP");
                } else if (progress == ParseStatus.DONE) {
                    answered(reader.takeMessage());
                }
            }
            if (!link.isClosed()) {
                settled();
            }
        }

        private boolean isOwed() {
            return !sent.isEmpty() && !isTooSoon(sent.peek().at, answeredAt, connectMs, loop.nowMs());
        }

        @Override
        public Execution answeringExecution() {
            // Guards the next commands against a client that reads slowly: they would wait behind this value.
            limits.reuseStats().recordFailure(loop.nowMs());
            beginsAnswer = isOwed();
            return beginsAnswer ? sent.peek().execution : null;
        }

        @Override
        public Link link() {
            return link;
        }

        /** Reads the rest for those that wait behind it, and for nobody else. */
        @Override
        public void abandoned() {
            if (sent.size() > 1) {
                inflow.resume();
            } else if (!link.isClosed()) {
                sent.clear();
                close();
            }
        }

        private void answered(RespMessage message) {
            ExecutionResult ending = beginsAnswer || isOwed() ? ending(message) : null;
            if (ending == null) { // more than was asked for, or no answer a node gives: what follows is as doubtful
                message.release();
                spoilt("not an answer");
                return;
            }
            toldOfReuse(false);
            answeredAt = loop.nowMs();
            beginsAnswer = false;
            Execution done = sent.poll().execution;
            inflow.complete();
            if (message.firstWasLong()) {
                ending.release();
            } else {
                done.end(ending);
            }
            message.release();
        }

        /** Null for what is RESP and yet no answer to a command. */
        private static ExecutionResult ending(RespMessage message) {
            if (message.type == '*' && message.bulks.size() == PARTS) {
                return message.bulk(0) == null ? ExecutionResult.of(Outcome.MISS) : ExecutionResult.completed(message.takeBulk(0));
            }
            if (!message.isError()) {
                return null;
            }
            return message.line.equals("BUSY") ? ExecutionResult.of(Outcome.FULL)
                    : message.line.startsWith("ERR ") ? ExecutionResult.erred(message.line) : null;
        }

        /** Retires a connection that carries nothing, now or before the node would close it. */
        private void settled() {
            if (load() > 0) {
                return;
            }
            closing.cancelTask();
            idleSince = loop.nowMs();
            if (retired) {
                close();
            } else {
                closing = loop.scheduleAt(loop.nowMs() + limits.idleTimeoutMs(), this::closeIfForgotten);
            }
        }

        private void toldOfReuse(boolean broke) {
            if (idleMs >= 0) {
                limits.reuseStats().recordReuse(idleMs, broke);
                idleMs = -1;
            }
        }

        @Override
        public void disconnected(String cause) {
            if (!sent.isEmpty()) {
                limits.reuseStats().recordFailure(loop.nowMs());
                toldOfReuse(true);
            }
            close();
            broken(whole -> ExecutionResult.connectionFailed(whole ? WriteProgress.COMPLETE : WriteProgress.INCOMPLETE, cause));
            endWaiting(cause);
        }

        /** The node lives, and what was written whole may have run; what follows on the connection is as doubtful. */
        private void spoilt(String cause) {
            limits.reuseStats().recordFailure(loop.nowMs());
            close();
            broken(whole -> whole ? ExecutionResult.erred(cause) : ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
            endWaiting(cause);
        }

        void close() {
            tellWritten();
            closing.cancelTask();
            reader.release();
            open.free(slot);
            link.close();
            inflow.fail();
        }

        /** Ends what is out, by whether it was written whole. */
        private void broken(Function<Boolean, ExecutionResult> ending) {
            while (!sent.isEmpty()) {
                Sent s = sent.poll();
                s.execution.end(ending.apply(link.bytesWritten() >= s.endsAt));
            }
        }

        /** Ends the command of which no byte has gone out yet: only the last one can be such. */
        void endUnbegun(String cause) {
            Sent newest = sent.peekLast();
            if (newest != null && link.bytesWritten() <= newest.beginsAt && takeBack(newest.execution)) {
                newest.execution.end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
            }
        }

        void endWaiting(String cause) {
            while (!waiting.isEmpty()) {
                waiting.poll().end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
            }
        }
    }
}
