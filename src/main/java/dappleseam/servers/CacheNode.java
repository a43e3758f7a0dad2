package dappleseam.servers;

import dappleseam.query.Backend;
import dappleseam.query.Command;
import dappleseam.query.Connections;
import dappleseam.query.Ending;
import dappleseam.query.Execution;
import dappleseam.query.Inflow;
import dappleseam.query.Reached;
import dappleseam.query.Slots;
import dappleseam.router.Outcome;
import dappleseam.wire.Chain;
import dappleseam.wire.Large;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import dappleseam.wire.Progress;
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
    private static final int PARTS = 3;
    /** Time in ms for which only abandoned commands may be unanswered on a connection; then it is considered dead. */
    private static final double STUCK_MS = 2500;
    /** Time in ms after a reply in which a duplicate of it may arrive, while there have been corrupted replies. */
    private static final double COPY_MS = 15;
    /** Longest plausible round-trip time in ms: a connection that took longer to open was delayed in this process. */
    private static final double FAR_MS = 2;

    private final Loop loop;
    private final InetSocketAddress endpoint;
    private Connections limits;
    private final Slots<Connection> open = new Slots<>();
    private boolean retired;

    public CacheNode(Loop loop, InetSocketAddress endpoint, Connections limits) {
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
        boolean shared = limits.share() && limits.reuse().isCalm(loop.nowMs());
        if (best == null || best.load() > 0 && !shared && loop.mayDial()) {
            best = new Connection();
            best.waiting.add(execution);
            best.dial();
        } else {
            best.send(execution);
        }
    }

    @Override
    public Reached giveUp(Execution execution) {
        for (Connection c : open.all()) {
            if (c.takeBack(execution)) {
                return Reached.NOT_WHOLE;
            }
            for (Sent sent : c.sent) {
                if (sent.execution == execution) {
                    return c.giveUp(sent);
                }
            }
        }
        return Reached.NOT_WHOLE;
    }

    @Override
    public boolean takeBack(Execution execution) {
        for (Connection c : open.all()) {
            if (c.takeBack(execution)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void limit(Connections newLimits) {
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
    public void endWaiting() {
        for (Connection c : open.all()) {
            c.endUnbegun("the node is draining or gone");
            c.endWaiting("the node is draining or gone");
        }
    }

    @Override
    public void retire() {
        retired = true;
        closeIdle();
        endWaiting();
    }

    /**
     * Whether a reply arrives too early to belong to a command that was sent before the previous reply came: it is then a duplicate of that
     * reply. No genuine reply takes less than a round trip, for which the time to connect is an estimate unless this thread itself was late.
     */
    static boolean isTooSoon(double sentAt, double lastAnsweredAt, double connectMs, double now) {
        return sentAt <= lastAnsweredAt && now - sentAt < Math.min(connectMs, FAR_MS);
    }

    /** A command that was queued for output, with its byte range in the connection's output. */
    private record Sent(Execution execution, long beginsAt, long endsAt, double at) {}

    private final class Connection implements Inflow.Connection {
        /** Executions waiting for the connection to open. */
        final ArrayDeque<Execution> waiting = new ArrayDeque<>();
        /** Commands queued or written and not answered, in order. */
        final ArrayDeque<Sent> sent = new ArrayDeque<>();
        /** Commands queued whose last byte is not known to be written, in order. */
        private final ArrayDeque<Sent> unwritten = new ArrayDeque<>();
        private final Inflow inflow = new Inflow(loop, this);
        private final RespReader reader = new RespReader(loop.pool(), Large.LONGEST, inflow);
        private final int slot = open.put(this);
        private Link link;
        private double idleSince;
        private final double dialledAt = loop.nowMs();
        private double connectMs;
        private double answeredAt;
        /** Whether the reply being received was expected when its large value began. */
        private boolean beginsAnswer;
        /** How long the connection had been idle before the first unanswered command; negative if it was not idle. */
        private double idleMs = -1;
        /** Closes the connection unless it is cancelled by activity. */
        private Loop.Deadline closing = () -> { };

        int load() {
            return waiting.size() + sent.size();
        }

        /**
         * Whether another command may be sent on this connection. Not while the next reply belongs to an abandoned command: the new one would
         * wait for what was too slow. And not directly after a reply while replies have recently been corrupted: a duplicate of it would be
         * taken for the new command's reply.
         */
        boolean hasRoom() {
            boolean mayBeCopied = load() == 0 && link != null && loop.nowMs() - answeredAt < COPY_MS
                    && !limits.reuse().isCalm(loop.nowMs());
            boolean isWritten = link == null || link.out().size() == 0; // a command queued behind unwritten bytes could not be taken back
            return load() < limits.commandsAtOnce() && !mayBeCopied && isWritten
                    && (sent.isEmpty() || !sent.peekFirst().execution.hasEnded());
        }

        /** Whether an idle connection can be reused; closes it if input or a close has arrived since the last reply. */
        boolean isClean() {
            if (load() > 0 || link == null) {
                return true;
            }
            double idle = loop.nowMs() - idleSince;
            if (!link.isQuiet() || !limits.reuse().isLikely(idle)) {
                close();
                return false;
            }
            idleMs = idle;
            return true;
        }

        void dial() {
            loop.dial(endpoint, limits.connectTimeoutMs(), this::up, this::failed);
        }

        private void up(StreamConnection connection) {
            link = loop.link(connection, this);
            connectMs = loop.nowMs() - dialledAt;
            link.resume();
            while (!waiting.isEmpty() && !link.isClosed()) {
                Execution next = waiting.peek(); // stays queued meanwhile: checking its client may read the next query
                boolean mayBegin = next.mayBegin(); // its client may have disconnected while the connection was opening
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
            closing.callOff();
            if (link == null) {
                waiting.add(e);
                return;
            }
            long beginsAt = link.queued();
            try {
                write(e.command, Math.max(1, Math.round(e.waitUntil - loop.nowMs())), link.out());
            } catch (RuntimeException fault) { // a partly written command must not be followed by another
                sent.add(new Sent(e, beginsAt, Long.MAX_VALUE, loop.nowMs()));
                ended("internal error: " + fault);
                return;
            }
            Sent one = new Sent(e, beginsAt, link.queued(), loop.nowMs());
            sent.add(one);
            unwritten.add(one);
            link.flush();
        }

        @Override
        public void drained() {
            tellWritten();
        }

        private void tellWritten() {
            while (!unwritten.isEmpty() && unwritten.peek().endsAt <= link.written()) {
                unwritten.poll().execution.written();
            }
        }

        private static void write(Command command, long waitMs, Chain to) {
            RespWriter.array(to, command.isWrite() ? 5 : 4);
            RespWriter.bulk(to, command.isWrite() ? "C.SET" : "C.GET");
            RespWriter.bulk(to, command.key());
            RespWriter.bulk(to, command.id());
            RespWriter.bulk(to, command.factsWaiting(waitMs));
            if (command.isWrite()) {
                RespWriter.bulk(to, command.value());
            }
        }

        /** Withdraws an execution whose command is not completely written; only the last one can be. Returns whether it was withdrawn. */
        boolean takeBack(Execution execution) {
            if (waiting.remove(execution)) {
                return true;
            }
            Sent newest = sent.peekLast();
            if (newest == null || newest.execution != execution || link.written() >= newest.endsAt) {
                return false;
            }
            sent.removeLast();
            unwritten.remove(newest);
            if (link.written() == newest.beginsAt) { // all unwritten bytes belong to it
                link.dropUnwritten();
                settled();
            } else {
                ended("a partly written command was cancelled"); // otherwise the rest would still be written
            }
            return true;
        }

        /**
         * Abandons a command. Other commands on the connection are not affected; if the policy asks for it, a connection that carries only
         * this command is closed.
         */
        Reached giveUp(Sent given) {
            if (limits.closeToGiveUp() && sent.size() == 1) {
                Reached reached = link.written() >= given.endsAt ? Reached.WHOLE : Reached.NOT_WHOLE;
                sent.clear();
                close();
                return reached;
            }
            if (sent.peek() == given && answeredAt <= given.at) {
                // Stops later commands from sharing connections: if this reply never comes, all commands behind it are lost.
                limits.reuse().troubled(loop.nowMs());
            }
            closing.callOff();
            closing = loop.at(loop.nowMs() + STUCK_MS, this::closeIfForgotten);
            return Reached.WHOLE; // bytes not written yet are still sent
        }

        private void closeIfForgotten() {
            if (!inflow.isUnderWay() && sent.stream().allMatch(s -> s.execution.hasEnded())) {
                close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            while (bytes.hasRemaining() && !link.isClosed()) {
                Progress progress = reader.read(bytes);
                if (progress == Progress.BAD) {
                    spoilt("malformed RESP");
                } else if (progress == Progress.DONE) {
                    answered(reader.take());
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
        public Execution begins() {
            // Stops later commands from sharing connections: if the client reads slowly, all commands behind this value wait.
            limits.reuse().troubled(loop.nowMs());
            beginsAnswer = isOwed();
            return beginsAnswer ? sent.peek().execution : null;
        }

        @Override
        public Link link() {
            return link;
        }

        /** Reads on only if other commands wait behind the abandoned value. */
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
            Ending ending = beginsAnswer || isOwed() ? ending(message) : null;
            if (ending == null) { // an unexpected or invalid reply: what follows cannot be trusted either
                message.release();
                spoilt("invalid or unexpected reply");
                return;
            }
            toldOfReuse(false);
            answeredAt = loop.nowMs();
            beginsAnswer = false;
            Execution done = sent.poll().execution;
            inflow.whole();
            if (message.firstWasLong()) {
                ending.release();
            } else {
                done.end(ending);
            }
            message.release();
        }

        /** The result that a reply stands for; null if it is well-formed RESP but not a valid reply to a command. */
        private static Ending ending(RespMessage message) {
            if (message.sign == '*' && message.bulks.size() == PARTS) {
                return message.bulk(0) == null ? Ending.of(Outcome.MISS) : Ending.completed(message.takeBulk(0));
            }
            if (!message.isError()) {
                return null;
            }
            return message.line.equals("BUSY") ? Ending.of(Outcome.FULL)
                    : message.line.startsWith("ERR ") ? Ending.erred(message.line) : null;
        }

        /** If the connection is idle, closes it now or, before the node would, by a timer. */
        private void settled() {
            if (load() > 0) {
                return;
            }
            closing.callOff();
            idleSince = loop.nowMs();
            if (retired) {
                close();
            } else {
                closing = loop.at(loop.nowMs() + limits.retireMs(), this::closeIfForgotten);
            }
        }

        private void toldOfReuse(boolean broke) {
            if (idleMs >= 0) {
                limits.reuse().told(idleMs, broke);
                idleMs = -1;
            }
        }

        @Override
        public void ended(String cause) {
            if (!sent.isEmpty()) {
                limits.reuse().troubled(loop.nowMs());
                toldOfReuse(true);
            }
            close();
            broken(whole -> Ending.broken(whole ? Reached.WHOLE : Reached.NOT_WHOLE, cause));
            endWaiting(cause);
        }

        /** An invalid reply: the node is alive and completely written commands may have run, but the connection cannot be trusted any more. */
        private void spoilt(String cause) {
            limits.reuse().troubled(loop.nowMs());
            close();
            broken(whole -> whole ? Ending.erred(cause) : Ending.broken(Reached.NOT_WHOLE, cause));
            endWaiting(cause);
        }

        void close() {
            tellWritten();
            closing.callOff();
            reader.release();
            open.free(slot);
            link.close();
            inflow.broken();
        }

        /** Ends all unanswered commands; the result depends on whether the command was completely written. */
        private void broken(Function<Boolean, Ending> ending) {
            while (!sent.isEmpty()) {
                Sent s = sent.poll();
                s.execution.end(ending.apply(link.written() >= s.endsAt));
            }
        }

        /** Ends the last command if no byte of it has been written; only the last one can be in that state. */
        void endUnbegun(String cause) {
            Sent newest = sent.peekLast();
            if (newest != null && link.written() <= newest.beginsAt && takeBack(newest.execution)) {
                newest.execution.end(Ending.broken(Reached.NOT_WHOLE, cause));
            }
        }

        void endWaiting(String cause) {
            while (!waiting.isEmpty()) {
                waiting.poll().end(Ending.broken(Reached.NOT_WHOLE, cause));
            }
        }
    }
}
