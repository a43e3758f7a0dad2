package dappleseam.origin;

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
import dappleseam.wire.HttpResponseReader;
import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import dappleseam.wire.ParseStatus;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;

/** The origin, over HTTP/1.1: one exchange at a time on each connection. */
public final class Origin implements Backend {
    /** Bytes of a long value put out at once; the next when the origin has taken them. */
    private static final int MOST_PUT_OUT = 64 << 10;

    private final IoLoop loop;
    private final InetSocketAddress endpoint;
    private ConnectionPolicy limits;
    private final Slots<Connection> open = new Slots<>();
    private boolean retired;

    public Origin(IoLoop loop, InetSocketAddress endpoint, ConnectionPolicy limits) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.limits = limits;
    }

    @Override
    public void begin(Execution execution) {
        for (Connection c : open.all()) { // always the first that is free, so that the last ones fall idle
            if (c.current == null && c.isClean()) {
                c.send(execution);
                return;
            }
        }
        Connection c = new Connection(execution);
        c.dialling = loop.connect(endpoint, limits.connectTimeoutMs(), c::up, c::failed);
    }

    @Override
    public WriteProgress stopWaiting(Execution execution) {
        for (Connection c : open.all()) {
            if (c.current == execution) {
                WriteProgress reached = c.reached();
                c.current = null;
                c.close();
                return reached;
            }
        }
        return WriteProgress.INCOMPLETE;
    }

    @Override
    public boolean cancelUnsent(Execution execution) {
        for (Connection c : open.all()) {
            if (c.current == execution && c.reached() == WriteProgress.INCOMPLETE) {
                c.current = null;
                c.close();
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
            if (c.current == null) {
                c.close();
            }
        }
    }

    @Override
    public void failWaiting() {
        for (Connection c : open.all()) {
            if (c.link == null || c.current != null && c.link.bytesWritten() <= c.beginsAt) {
                c.close();
                c.end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, "the origin drains or is gone"));
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
        private final LargeValueReceiver inflow = new LargeValueReceiver(loop, this);
        private final HttpResponseReader reader = new HttpResponseReader(loop.pool(), LargeValueHandler.MAX_BYTES, inflow);
        /** Bytes put out of the value that goes out. */
        private long put;
        private IoLoop.PendingTask dialling = () -> { };
        private IoLoop.PendingTask closing = () -> { };
        private final int slot = open.put(this);
        private Link link;
        private Execution current;
        private double idleSince;
        /** How long it had been idle when the query went out that has no answer yet; under 0 for the first. */
        private double idleMs = -1;
        /** Bytes of the connection before the query that goes out, and with it. */
        private long beginsAt;
        private long endsAt;

        Connection(Execution first) {
            current = first;
        }

        private void up(StreamConnection connection) {
            link = loop.createLink(connection, this);
            link.resume();
            if (current.mayBegin()) {
                send(current);
            } else if (!link.isClosed()) { // its client may have left while the connection came up
                current = null;
                if (retired) {
                    close();
                } else {
                    rest();
                }
            }
        }

        /** Stands idle for the next query, or until the origin would close it. */
        private void rest() {
            idleSince = loop.nowMs();
            closing = loop.scheduleAt(loop.nowMs() + limits.idleTimeoutMs(), this::close);
        }

        private void failed(String cause) {
            open.free(slot);
            end(ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, cause));
        }

        void send(Execution e) {
            closing.cancelTask();
            current = e;
            beginsAt = link.bytesQueued();
            endsAt = Long.MAX_VALUE;
            try {
                write(e, Math.max(1, Math.round(e.deadlineMs - loop.nowMs())), link.out());
                put = 0;
                putValue();
            } catch (RuntimeException fault) { // half a head must not be followed by another
                disconnected("fault: " + fault);
                return;
            }
            link.flush();
        }

        /** The next part of the value; the query holds the one copy of it. */
        private void putValue() {
            BufferChain value = current.command.value();
            put += value == null ? 0 : link.out().copyRange(value, put, MOST_PUT_OUT);
            if (value == null || put == value.size()) {
                endsAt = link.bytesQueued();
            }
        }

        private static void write(Execution e, long waitMs, BufferChain to) {
            Command command = e.command;
            to.put((command.isWrite() ? "PUT /" : "GET /") + command.key() + " HTTP/1.1\r\nHost: origin\r\n"
                    + "X-Correlation-Id: " + command.id() + "\r\nX-Facts: " + command.factsWithTimeout(waitMs) + "\r\n"
                    + (command.isWrite() ? "Content-Length: " + command.value().size() + "\r\n\r\n" : "\r\n"));
        }

        @Override
        public void flushed() {
            if (current != null && reached() == WriteProgress.COMPLETE) {
                current.written();
            } else if (current != null && endsAt == Long.MAX_VALUE) {
                try {
                    putValue();
                } catch (RuntimeException fault) { // what has gone out is less than it was said to be
                    disconnected("fault: " + fault);
                    return;
                }
                link.flush();
            }
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

        WriteProgress reached() {
            return link != null && link.bytesWritten() >= endsAt ? WriteProgress.COMPLETE : WriteProgress.INCOMPLETE;
        }

        @Override
        public void received(ByteBuffer bytes) {
            ParseStatus progress = reader.read(bytes);
            if (progress == ParseStatus.MALFORMED || current == null) {
                boolean whole = reached() == WriteProgress.COMPLETE;
                close();
                end(whole ? ExecutionResult.erred("not an answer in HTTP")
                        : ExecutionResult.connectionFailed(WriteProgress.INCOMPLETE, "an answer ahead of its query"));
            } else if (progress == ParseStatus.DONE) {
                answered(!bytes.hasRemaining());
            }
        }

        /** Guards the next query against what came behind the last answer, or an end nobody has read yet. */
        boolean isClean() {
            idleMs = loop.nowMs() - idleSince;
            if (link.hasNoInput() && limits.reuseStats().mayReuse(idleMs)) {
                return true;
            }
            close();
            return false;
        }

        /** Where the answer is not {@code clean}, more came than belongs to it: it counts, the connection ends. */
        private void answered(boolean clean) {
            boolean completed = reader.status() == 200;
            boolean neverRan = reader.header("x-unprocessed").equals("1")
                    && (reader.status() == 503 || reader.status() == 504);
            ExecutionResult failure = neverRan ? ExecutionResult.of(Outcome.FULL) : ExecutionResult.erred("status " + reader.status());
            boolean staysOpen = clean && reader.staysOpen() && !retired && endsAt != Long.MAX_VALUE;
            BufferChain body = reader.takeBody();
            Execution done = current;
            current = null;
            inflow.complete();
            toldOfReuse(false);
            if (staysOpen) {
                rest();
            } else {
                close();
            }
            if (!completed) {
                body.release();
            }
            done.end(completed ? ExecutionResult.completed(body) : failure);
        }

        private void toldOfReuse(boolean broke) {
            if (idleMs >= 0) {
                limits.reuseStats().recordReuse(idleMs, broke);
                idleMs = -1;
            }
        }

        /** Guards a client against part of a value: a body without a length ends with an orderly end, never with a reset. */
        @Override
        public void endOfStream() {
            if (current != null && reader.endsBody()) {
                answered(true);
            } else {
                disconnected("closed by the peer");
            }
        }

        @Override
        public void disconnected(String cause) {
            WriteProgress reached = reached();
            if (current != null) {
                toldOfReuse(true);
            }
            close();
            end(ExecutionResult.connectionFailed(reached, cause));
        }

        void close() {
            dialling.cancelTask();
            closing.cancelTask();
            reader.release();
            open.free(slot);
            if (link != null) {
                link.close();
            }
            inflow.fail();
        }

        private void end(ExecutionResult ending) {
            if (current != null) {
                Execution e = current;
                current = null;
                e.end(ending);
            }
        }
    }
}
