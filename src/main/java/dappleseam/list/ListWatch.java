package dappleseam.list;

import dappleseam.wire.Chain;
import dappleseam.wire.HttpReader;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import dappleseam.wire.Progress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.xnio.StreamConnection;

/** Follows the list service by watches, each begun as the one before is answered. */
public final class ListWatch {
    private static final long LONGEST_LIST = 4 << 20;
    /** How long one call waits for news, in ms: each call costs the service work, and none is lost longer. */
    private static final long HOLD_MS = 20_000;
    /** How long a call may take beyond its waiting, in ms: the service works through calls in turn. */
    private static final double LATE_MS = 2000;
    private static final double CONNECT_MS = 1000;
    /** Time in ms before a failed call is made again where the list is to be followed always; doubled. */
    private static final double AGAIN_MS = 100;
    private static final double AGAIN_MOST_MS = 2000;

    private final Loop loop;
    private InetSocketAddress service;
    private ListReader lists;
    private final Consumer<NodeList> news;
    private final Consumer<String> failed;
    private final DoubleUnaryOperator again;
    private long version;
    private boolean always;
    private double againMs = AGAIN_MS;
    /** The call that is out; null while nothing is followed. */
    private Call call;

    /** {@code again}: what comes of the time in ms until a failed call is made again. */
    public ListWatch(Loop loop, InetSocketAddress service, ListReader lists, long version,
                     Consumer<NodeList> news, Consumer<String> failed, DoubleUnaryOperator again) {
        this.loop = loop;
        this.service = service;
        this.lists = lists;
        this.version = version;
        this.news = news;
        this.failed = failed;
        this.again = again;
    }

    /** Begins to follow, unless a call is out already. The first call does not wait: it tells what was missed. */
    public void follow() {
        if (call == null) {
            begin(0);
        }
    }

    /** Follows from now on without being asked, as where the list is pushed to a proxy. */
    public void followAlways() {
        always = true;
        follow();
    }

    /** Follows at another address from now on, from the version last heard; what was missed comes first. */
    public void moveTo(InetSocketAddress other) {
        if (!other.equals(service)) {
            service = other;
            if (call != null) {
                call.end();
            }
            follow();
        }
    }

    /** Asks for the whole list again, to read it in another way. */
    public void readAnew(ListReader otherLists) {
        lists = otherLists;
        version = 0;
        if (call != null) {
            call.end();
            follow();
        }
    }

    private void begin(long holdMs) {
        call = new Call(holdMs);
        call.dial();
    }

    private final class Call implements Link.Events {
        private final HttpReader reader = new HttpReader(loop.pool(), LONGEST_LIST);
        private Loop.Deadline late = () -> { };
        private Loop.Deadline dialling;
        private final long firstHoldMs;
        private Link link;

        Call(long firstHoldMs) {
            this.firstHoldMs = firstHoldMs;
        }

        void dial() {
            dialling = loop.dial(service, CONNECT_MS, this::up, this::fail);
        }

        private void up(StreamConnection connection) {
            link = loop.link(connection, this);
            link.resume();
            ask(firstHoldMs);
        }

        private void ask(long holdMs) {
            late.callOff();
            late = loop.at(loop.nowMs() + holdMs + LATE_MS, () -> fail("no answer in time"));
            link.out().put("GET /registry/instances?from=" + version + "&hold_ms=" + holdMs
                    + " HTTP/1.1\r\nHost: list\r\n\r\n");
            link.flush();
        }

        @Override
        public void received(ByteBuffer bytes) {
            Progress progress = reader.read(bytes);
            if (progress == Progress.BAD) {
                fail("not an answer in HTTP");
            } else if (progress == Progress.DONE) {
                answered();
            }
        }

        private void answered() {
            int status = reader.status();
            boolean staysOpen = reader.staysOpen();
            Chain body = reader.takeBody();
            NodeList list;
            try {
                if (status != 200) {
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
            if (staysOpen) {
                ask(HOLD_MS);
            } else {
                end();
                begin(HOLD_MS);
            }
            news.accept(list);
        }

        @Override
        public void ended(String cause) {
            if (reader.endsBody()) {
                answered();
            } else {
                fail(cause);
            }
        }

        private void fail(String cause) {
            if (call == this) {
                end();
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
            dialling.callOff();
            reader.release();
            if (link != null) {
                link.close();
            }
        }
    }
}
