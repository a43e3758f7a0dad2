package dappleseam.origin;

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
import dappleseam.wire.HttpReader;
import dappleseam.wire.Large;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import dappleseam.wire.Progress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;

/** The origin server, over HTTP/1.1 with one exchange at a time on each connection. */
public final class Origin implements Backend {
    /** Maximum bytes of a value in the output queue; more is added when the origin has taken them. */
    private static final int MOST_PUT_OUT = 64 << 10;

    private final Loop loop;
    private final InetSocketAddress endpoint;
    private Connections limits;
    private final Slots<Connection> open = new Slots<>();
    private boolean retired;

    public Origin(Loop loop, InetSocketAddress endpoint, Connections limits) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.limits = limits;
    }

    @Override
    public void begin(Execution execution) {
        for (Connection c : open.all()) { // always the first free one, so that the last ones become idle and are closed
            if (c.current == null && c.isClean()) {
                c.send(execution);
                return;
            }
        }
        Connection c = new Connection(execution);
        c.dialling = loop.dial(endpoint, limits.connectTimeoutMs(), c::up, c::failed);
    }

    @Override
    public Reached giveUp(Execution execution) {
        for (Connection c : open.all()) {
            if (c.current == execution) {
                Reached reached = c.reached();
                c.current = null;
                c.close();
                return reached;
            }
        }
        return Reached.NOT_WHOLE;
    }

    @Override
    public boolean takeBack(Execution execution) {
        for (Connection c : open.all()) {
            if (c.current == execution && c.reached() == Reached.NOT_WHOLE) {
                c.current = null;
                c.close();
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
            if (c.current == null) {
                c.close();
            }
        }
    }

    @Override
    public void endWaiting() {
        for (Connection c : open.all()) {
            if (c.link == null || c.current != null && c.link.written() <= c.beginsAt) {
                c.close();
                c.end(Ending.broken(Reached.NOT_WHOLE, "the origin is draining or gone"));
            }
        }
    }

    @Override
    public void retire() {
        retired = true;
        closeIdle();
        endWaiting();
    }

    private final class Connection implements Inflow.Connection {
        private final Inflow inflow = new Inflow(loop, this);
        private final HttpReader reader = new HttpReader(loop.pool(), Large.LONGEST, inflow);
        /** Bytes already queued of the value being sent. */
        private long put;
        private Loop.Deadline dialling = () -> { };
        private Loop.Deadline closing = () -> { };
        private final int slot = open.put(this);
        private Link link;
        private Execution current;
        private double idleSince;
        /** How long the connection had been idle before the unanswered request; negative for the first request. */
        private double idleMs = -1;
        /** Byte range of the current request in the connection's output; the end is {@link Long#MAX_VALUE} until all of it is queued. */
        private long beginsAt;
        private long endsAt;

        Connection(Execution first) {
            current = first;
        }

        private void up(StreamConnection connection) {
            link = loop.link(connection, this);
            link.resume();
            if (current.mayBegin()) {
                send(current);
            } else if (!link.isClosed()) { // its client may have disconnected while the connection was opening
                current = null;
                if (retired) {
                    close();
                } else {
                    rest();
                }
            }
        }

        /** Waits for the next request, and is closed shortly before the origin would close it. */
        private void rest() {
            idleSince = loop.nowMs();
            closing = loop.at(loop.nowMs() + limits.retireMs(), this::close);
        }

        private void failed(String cause) {
            open.free(slot);
            end(Ending.broken(Reached.NOT_WHOLE, cause));
        }

        void send(Execution e) {
            closing.callOff();
            current = e;
            beginsAt = link.queued();
            endsAt = Long.MAX_VALUE;
            try {
                write(e, Math.max(1, Math.round(e.waitUntil - loop.nowMs())), link.out());
                put = 0;
                putValue();
            } catch (RuntimeException fault) { // a partly written request must not be followed by another
                ended("internal error: " + fault);
                return;
            }
            link.flush();
        }

        /** Queues the next part of the value; the query keeps the only full copy of it. */
        private void putValue() {
            Chain value = current.command.value();
            put += value == null ? 0 : link.out().copyPart(value, put, MOST_PUT_OUT);
            if (value == null || put == value.size()) {
                endsAt = link.queued();
            }
        }

        private static void write(Execution e, long waitMs, Chain to) {
            Command command = e.command;
            to.put((command.isWrite() ? "PUT /" : "GET /") + command.key() + " HTTP/1.1\r\nHost: origin\r\n"
                    + "X-Correlation-Id: " + command.id() + "\r\nX-Facts: " + command.factsWaiting(waitMs) + "\r\n"
                    + (command.isWrite() ? "Content-Length: " + command.value().size() + "\r\n\r\n" : "\r\n"));
        }

        @Override
        public void drained() {
            if (current != null && reached() == Reached.WHOLE) {
                current.written();
            } else if (current != null && endsAt == Long.MAX_VALUE) {
                try {
                    putValue();
                } catch (RuntimeException fault) { // less was sent than Content-Length announced
                    ended("internal error: " + fault);
                    return;
                }
                link.flush();
            }
        }

        @Override
        public Execution begins() {
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

        Reached reached() {
            return link != null && link.written() >= endsAt ? Reached.WHOLE : Reached.NOT_WHOLE;
        }

        @Override
        public void received(ByteBuffer bytes) {
            Progress progress = reader.read(bytes);
            if (progress == Progress.BAD || current == null) {
                boolean whole = reached() == Reached.WHOLE;
                close();
                end(whole ? Ending.erred("malformed HTTP response")
                        : Ending.broken(Reached.NOT_WHOLE, "a response before the request was sent"));
            } else if (progress == Progress.DONE) {
                answered(!bytes.hasRemaining());
            }
        }

        /** Whether an idle connection can be reused; closes it if input or a close has arrived since the last response. */
        boolean isClean() {
            idleMs = loop.nowMs() - idleSince;
            if (link.isQuiet() && limits.reuse().isLikely(idleMs)) {
                return true;
            }
            close();
            return false;
        }

        /** Handles a complete response. If not {@code clean}, bytes followed it: the response counts, but the connection is closed. */
        private void answered(boolean clean) {
            boolean completed = reader.status() == 200;
            boolean neverRan = reader.header("x-unprocessed").equals("1")
                    && (reader.status() == 503 || reader.status() == 504);
            Ending failure = neverRan ? Ending.of(Outcome.FULL) : Ending.erred("status " + reader.status());
            boolean staysOpen = clean && reader.staysOpen() && !retired && endsAt != Long.MAX_VALUE;
            Chain body = reader.takeBody();
            Execution done = current;
            current = null;
            inflow.whole();
            toldOfReuse(false);
            if (staysOpen) {
                rest();
            } else {
                close();
            }
            if (!completed) {
                body.release();
            }
            done.end(completed ? Ending.completed(body) : failure);
        }

        private void toldOfReuse(boolean broke) {
            if (idleMs >= 0) {
                limits.reuse().told(idleMs, broke);
                idleMs = -1;
            }
        }

        /** A body without a length is complete on an orderly close only, never on a reset, so that no client gets part of a value. */
        @Override
        public void finished() {
            if (current != null && reader.endsBody()) {
                answered(true);
            } else {
                ended("closed by the peer");
            }
        }

        @Override
        public void ended(String cause) {
            Reached reached = reached();
            if (current != null) {
                toldOfReuse(true);
            }
            close();
            end(Ending.broken(reached, cause));
        }

        void close() {
            dialling.callOff();
            closing.callOff();
            reader.release();
            open.free(slot);
            if (link != null) {
                link.close();
            }
            inflow.broken();
        }

        private void end(Ending ending) {
            if (current != null) {
                Execution e = current;
                current = null;
                e.end(ending);
            }
        }
    }
}
