package dappleseam.list;

import dappleseam.wire.BufferChain;
import dappleseam.wire.HttpResponseReader;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import dappleseam.wire.ParseStatus;
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
 * Follows the list service by long polls, each begun as the one before is answered. Guards rule 3 against a watch that falls silent:
 * a change counts as told six seconds after the service had it, so a poll that waits, its lateness and two more calls have to fit into that.
 */
public final class ListWatch {
    private static final Logger LOG = System.getLogger(ListWatch.class.getName());
    private static final long LONGEST_LIST = 4 << 20;
    /** How long one long poll waits for news at most, in ms, and the share of it that is drawn: proxies do not call in step. */
    private static final double HOLD_MS = 2500;
    private static final double HOLD_DRAWN = 0.2;
    /** How long a call may take beyond its waiting, in ms: the service works through calls in turn. */
    private static final double LATE_MS = 1000;
    private static final double CONNECT_MS = 1000;
    /** Time in ms after which a call whose connections all hang dials once more beside them; connections that it dials at most. */
    static final double DIAL_AGAIN_MS = 400;
    static final int MOST_DIALS = 3;
    /** Longest time in ms, drawn, before a watch that broke or fell silent is opened anew: all of them may have at once. */
    private static final double ANEW_MS = 100;
    /** Back-off in ms before a failed call is made again where the list is pushed; doubled. What the agent has counts as told at once. */
    private static final double AGAIN_MS = 100;
    private static final double AGAIN_MOST_MS = 250;

    private final IoLoop loop;
    private InetSocketAddress service;
    private ListReader lists;
    private final Consumer<NodeList> news;
    private final Consumer<String> failed;
    private final DoubleUnaryOperator again;
    private final RandomGenerator random;
    private long version;
    private boolean always;
    private double againMs = AGAIN_MS;
    /** The call that is out; null while nothing is followed. */
    private Call call;

    /** {@code again}: what comes of the time in ms until a failed call is made again. */
    public ListWatch(IoLoop loop, InetSocketAddress service, ListReader lists, long version,
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

    /** Begins to follow, unless a call is out already. The first call does not wait: it tells what was missed. */
    public void startWatching() {
        if (call == null) {
            begin(0, false);
        }
    }

    /** How long the next long poll waits for news. */
    private long holdMs() {
        return Math.round(HOLD_MS * (1 - HOLD_DRAWN * random.nextDouble()));
    }

    /** Follows from now on without being asked, as where the list is pushed to a proxy. */
    public void watchPermanently() {
        always = true;
        startWatching();
    }

    /** Follows at another address from now on, from the version last heard; what was missed comes first. */
    public void moveTo(InetSocketAddress other) {
        if (!other.equals(service)) {
            service = other;
            if (call != null) {
                call.end();
            }
            startWatching();
        }
    }

    /** Asks for the whole list again, to read it in another way. */
    public void refetchWith(ListReader otherLists) {
        lists = otherLists;
        version = 0;
        if (call != null) {
            call.end();
            startWatching();
        }
    }

    private void begin(long holdMs, boolean goesOn) {
        call = new Call(holdMs, goesOn);
        call.dial();
    }

    private final class Call implements Link.Listener {
        private final HttpResponseReader reader = new HttpResponseReader(loop.pool(), LONGEST_LIST);
        private IoLoop.PendingTask late = () -> { };
        private final List<IoLoop.PendingTask> dials = new ArrayList<>();
        /** Dials that are neither up nor failed. */
        private int hanging;
        private IoLoop.PendingTask dialAgain = () -> { };
        private final long firstHoldMs;
        private Link link;
        /** Whether it goes on from an answer: the service was well then, and may be. */
        private boolean isWatch;

        Call(long firstHoldMs, boolean goesOn) {
            this.firstHoldMs = firstHoldMs;
            isWatch = goesOn;
        }

        void dial() {
            hanging++;
            dials.add(loop.connectReserved(service, CONNECT_MS, this::up, this::dialFailed));
            dialAgain = loop.scheduleAt(loop.nowMs() + DIAL_AGAIN_MS, this::dialBeside);
        }

        /** One connection that hangs says nothing of the service; not where nodes and clients hold all descriptors. */
        private void dialBeside() {
            if (loop.mayConnect()) {
                hanging++;
                dials.add(loop.connect(service, CONNECT_MS, this::up, this::dialFailed));
            }
            if (dials.size() < MOST_DIALS) {
                dialAgain = loop.scheduleAt(loop.nowMs() + DIAL_AGAIN_MS, this::dialBeside);
            }
        }

        private void dialFailed(String cause) {
            hanging--;
            if (hanging == 0 && link == null) {
                fail(cause);
            }
        }

        private void up(StreamConnection connection) {
            dialAgain.cancelTask();
            dials.forEach(IoLoop.PendingTask::cancelTask);
            link = loop.createLink(connection, this);
            link.resume();
            ask(firstHoldMs);
        }

        private void ask(long holdMs) {
            late.cancelTask();
            late = loop.scheduleAt(loop.nowMs() + holdMs + LATE_MS, () -> fail("no answer in time"));
            link.out().put("GET /registry/instances?from=" + version + "&hold_ms=" + holdMs
                    + " HTTP/1.1\r\nHost: list\r\n\r\n");
            link.flush();
        }

        @Override
        public void received(ByteBuffer bytes) {
            ParseStatus progress = reader.read(bytes);
            if (progress == ParseStatus.MALFORMED) {
                fail("not an answer in HTTP");
            } else if (progress == ParseStatus.DONE) {
                answered(reader.staysOpen() && !bytes.hasRemaining()); // more than was asked for: what follows is as doubtful
            }
        }

        private void answered(boolean staysOpen) {
            int status = reader.status();
            BufferChain body = reader.takeBody();
            NodeList list;
            try {
                if (status != 200) {
                    isWatch = false; // it says itself that it has too much to do
                    throw new IOException("status " + status);
                }
                list = lists.read(body.bytes());
            } catch (IOException | RuntimeException e) { // a list that makes no sense leaves the old one
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
        public void endOfStream() {
            if (reader.endsBody()) {
                answered(false);
            } else {
                fail("closed by the peer");
            }
        }

        @Override
        public void disconnected(String cause) {
            fail(cause);
        }

        private void fail(String cause) {
            if (call == this) {
                end();
                if (isWatch) { // no back-off for the first call
                    LOG.log(Level.INFO, "list: the watch is opened anew: {0}", cause);
                    loop.scheduleAt(loop.nowMs() + ANEW_MS * random.nextDouble(), ListWatch.this::startWatching);
                    return;
                }
                failed.accept(cause);
                if (always) {
                    loop.scheduleAt(loop.nowMs() + again.applyAsDouble(againMs), ListWatch.this::startWatching);
                    againMs = Math.min(AGAIN_MOST_MS, 2 * againMs);
                }
            }
        }

        private void end() {
            call = null;
            late.cancelTask();
            dialAgain.cancelTask();
            dials.forEach(IoLoop.PendingTask::cancelTask);
            reader.release();
            if (link != null) {
                link.close();
            }
        }
    }
}
