package dappleseam.list;

import dappleseam.wire.Chain;
import dappleseam.wire.HttpReader;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import dappleseam.wire.Progress;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import java.util.random.RandomGenerator;
import org.xnio.StreamConnection;

/**
 * Watches the node list of the list service by long polling; each poll starts when the previous one is answered. By rule 3 a change counts as
 * delivered six seconds after the service had it, even if the watch stalls, so the hold time of a poll, its response grace and two more calls
 * have to fit into that time.
 */
public final class ListWatch {
    private static final Logger LOG = System.getLogger(ListWatch.class.getName());
    private static final long LONGEST_LIST = 4 << 20;
    /** Maximum hold time of a long poll in ms, and the share of it that is random so that proxies do not poll in step. */
    private static final double HOLD_MS = 2500;
    private static final double HOLD_DRAWN = 0.2;
    /** How long a call may take beyond its hold time, in ms, as the service processes calls one after the other. */
    private static final double LATE_MS = 1000;
    private static final double CONNECT_MS = 1000;
    /** Time in ms after which a call with no connection open yet starts another attempt in parallel, and the maximum number of attempts. */
    static final double DIAL_AGAIN_MS = 400;
    static final int MOST_DIALS = 3;
    /** Maximum random delay in ms before a broken or stalled watch is reopened, as all proxies may be affected at once. */
    private static final double ANEW_MS = 100;
    /**
     * Initial back-off in ms, doubled each time, before a failed call is retried if the list is pushed: then a change counts as delivered as soon
     * as the agent has it.
     */
    private static final double AGAIN_MS = 100;
    private static final double AGAIN_MOST_MS = 250;

    private final Loop loop;
    private InetSocketAddress service;
    private ListReader lists;
    private final Consumer<NodeList> news;
    private final Consumer<String> failed;
    private final DoubleUnaryOperator again;
    private final RandomGenerator random;
    private long version;
    private boolean always;
    private double againMs = AGAIN_MS;
    /** The call in progress; null while not watching. */
    private Call call;

    /** {@code adjustBackoff} maps the proposed delay in ms before the next retry to the one that is used. */
    public ListWatch(Loop loop, InetSocketAddress service, ListReader lists, long version,
                     Consumer<NodeList> news, Consumer<String> failed, DoubleUnaryOperator again, RandomGenerator random) {
        this.loop = loop;
        this.service = service;
        this.lists = lists;
        this.version = version;
        this.news = news;
        this.failed = failed;
        this.again = again;
        this.random = random;
    }

    /** Starts watching, unless a call is in progress. The first call returns at once with what changed since the known version. */
    public void follow() {
        if (call == null) {
            begin(0, false);
        }
    }

    /** Hold time of the next long poll. */
    private long holdMs() {
        return Math.round(HOLD_MS * (1 - HOLD_DRAWN * random.nextDouble()));
    }

    /** Starts watching, and from now on retries failed calls; used if the list is pushed to a proxy. */
    public void followAlways() {
        always = true;
        follow();
    }

    /** Switches to the list service at another address, continuing from the last known version. */
    public void moveTo(InetSocketAddress other) {
        if (!other.equals(service)) {
            service = other;
            if (call != null) {
                call.end();
            }
            follow();
        }
    }

    /** Requests the full list again, to be read with another reader. */
    public void readAnew(ListReader otherLists) {
        lists = otherLists;
        version = 0;
        if (call != null) {
            call.end();
            follow();
        }
    }

    private void begin(long holdMs, boolean goesOn) {
        call = new Call(holdMs, goesOn);
        call.dial();
    }

    private final class Call implements Link.Events {
        private final HttpReader reader = new HttpReader(loop.pool(), LONGEST_LIST);
        private Loop.Deadline late = () -> { };
        private final List<Loop.Deadline> dials = new ArrayList<>();
        /** Connection attempts that have neither succeeded nor failed. */
        private int hanging;
        private Loop.Deadline dialAgain = () -> { };
        private final long firstHoldMs;
        private Link link;
        /** Whether the previous call was answered, so that the service is presumably still healthy. */
        private boolean isWatch;

        Call(long firstHoldMs, boolean goesOn) {
            this.firstHoldMs = firstHoldMs;
            isWatch = goesOn;
        }

        void dial() {
            hanging++;
            dials.add(loop.dialKept(service, CONNECT_MS, this::up, this::dialFailed));
            dialAgain = loop.at(loop.nowMs() + DIAL_AGAIN_MS, this::dialBeside);
        }

        /**
         * Starts another attempt, as one hanging connection does not mean that the service is down; skipped if nodes and clients use all
         * descriptors.
         */
        private void dialBeside() {
            if (loop.mayDial()) {
                hanging++;
                dials.add(loop.dial(service, CONNECT_MS, this::up, this::dialFailed));
            }
            if (dials.size() < MOST_DIALS) {
                dialAgain = loop.at(loop.nowMs() + DIAL_AGAIN_MS, this::dialBeside);
            }
        }

        private void dialFailed(String cause) {
            hanging--;
            if (hanging == 0 && link == null) {
                fail(cause);
            }
        }

        private void up(StreamConnection connection) {
            dialAgain.callOff();
            dials.forEach(Loop.Deadline::callOff);
            link = loop.link(connection, this);
            link.resume();
            ask(firstHoldMs);
        }

        private void ask(long holdMs) {
            late.callOff();
            late = loop.at(loop.nowMs() + holdMs + LATE_MS, () -> fail("no response in time"));
            link.out().put("GET /registry/instances?from=" + version + "&hold_ms=" + holdMs
                    + " HTTP/1.1\r\nHost: list\r\n\r\n");
            link.flush();
        }

        @Override
        public void received(ByteBuffer bytes) {
            Progress progress = reader.read(bytes);
            if (progress == Progress.BAD) {
                fail("malformed HTTP response");
            } else if (progress == Progress.DONE) {
                answered(reader.staysOpen() && !bytes.hasRemaining()); // after unexpected bytes the connection cannot be trusted
            }
        }

        private void answered(boolean staysOpen) {
            int status = reader.status();
            Chain body = reader.takeBody();
            NodeList list;
            try {
                if (status != 200) {
                    isWatch = false; // the service itself reports that it is overloaded
                    throw new IOException("status " + status);
                }
                list = lists.read(body.bytes());
            } catch (IOException | RuntimeException e) { // after an invalid list the old one stays
                fail(e.getMessage());
                return;
            } finally {
                body.release();
            }
            version = list.version();
            againMs = AGAIN_MS;
            isWatch = true;
            if (staysOpen) {
                ask(holdMs());
            } else {
                end();
                begin(holdMs(), true);
            }
            news.accept(list);
        }

        @Override
        public void finished() {
            if (reader.endsBody()) {
                answered(false);
            } else {
                fail("closed by the peer");
            }
        }

        @Override
        public void ended(String cause) {
            fail(cause);
        }

        private void fail(String cause) {
            if (call == this) {
                end();
                if (isWatch) { // the first call after an answered one is made without back-off
                    LOG.log(Level.INFO, "list: the watch is opened anew: {0}", cause);
                    loop.at(loop.nowMs() + ANEW_MS * random.nextDouble(), ListWatch.this::follow);
                    return;
                }
                failed.accept(cause);
                if (always) {
                    loop.at(loop.nowMs() + again.applyAsDouble(againMs), ListWatch.this::follow);
                    againMs = Math.min(AGAIN_MOST_MS, 2 * againMs);
                }
            }
        }

        private void end() {
            call = null;
            late.callOff();
            dialAgain.callOff();
            dials.forEach(Loop.Deadline::callOff);
            reader.release();
            if (link != null) {
                link.close();
            }
        }
    }
}
