package dappleseam.list;

import dappleseam.wire.BufferChain;
import dappleseam.wire.HttpResponseReader;
import dappleseam.wire.IoLoop;
import dappleseam.wire.Link;
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
 * Watches the node list of the list service by long polling; each poll starts when the previous one is answered. By rule 3 a change counts as
 * delivered six seconds after the service had it, even if the watch stalls, so the hold time of a poll, its response grace and two more calls
 * have to fit into that time.
 */
public final class ListWatch {
    private static final Logger LOG = System.getLogger(ListWatch.class.getName());
    private static final long MAX_LIST_BYTES = 4 << 20;
    /** Maximum hold time of a long poll in ms, and the share of it that is random so that proxies do not poll in step. */
    private static final double HOLD_MS = 2500;
    private static final double HOLD_JITTER = 0.2;
    /** How long a call may take beyond its hold time, in ms, as the service processes calls one after the other. */
    private static final double RESPONSE_GRACE_MS = 1000;
    private static final double CONNECT_TIMEOUT_MS = 1000;
    /** Time in ms after which a call with no connection open yet starts another attempt in parallel, and the maximum number of attempts. */
    static final double EXTRA_ATTEMPT_MS = 400;
    static final int MAX_ATTEMPTS = 3;
    /** Maximum random delay in ms before a broken or stalled watch is reopened, as all proxies may be affected at once. */
    private static final double REOPEN_JITTER_MS = 100;
    /**
     * Initial back-off in ms, doubled each time, before a failed call is retried if the list is pushed: then a change counts as delivered as soon
     * as the agent has it.
     */
    private static final double BACKOFF_MS = 100;
    private static final double MAX_BACKOFF_MS = 250;

    private final IoLoop loop;
    private InetSocketAddress service;
    private ListReader listReader;
    private final Consumer<NodeList> onList;
    private final Consumer<String> onFailure;
    private final DoubleUnaryOperator adjustBackoff;
    private final RandomGenerator random;
    private long version;
    private boolean isPermanent;
    private double backoffMs = BACKOFF_MS;
    /** The call in progress; null while not watching. */
    private Call call;

    /** {@code adjustBackoff} maps the proposed delay in ms before the next retry to the one that is used. */
    public ListWatch(IoLoop loop, InetSocketAddress service, ListReader listReader, long version,
                     Consumer<NodeList> onList, Consumer<String> onFailure, DoubleUnaryOperator adjustBackoff, RandomGenerator random) {
        this.loop = loop;
        this.service = service;
        this.listReader = listReader;
        this.version = version;
        this.onList = onList;
        this.onFailure = onFailure;
        this.adjustBackoff = adjustBackoff;
        this.random = random;
    }

    /** Starts watching, unless a call is in progress. The first call returns at once with what changed since the known version. */
    public void startWatching() {
        if (call == null) {
            startCall(0, false);
        }
    }

    /** Hold time of the next long poll. */
    private long holdMs() {
        return Math.round(HOLD_MS * (1 - HOLD_JITTER * random.nextDouble()));
    }

    /** Starts watching, and from now on retries failed calls; used if the list is pushed to a proxy. */
    public void watchPermanently() {
        isPermanent = true;
        startWatching();
    }

    /** Switches to the list service at another address, continuing from the last known version. */
    public void moveTo(InetSocketAddress newService) {
        if (!newService.equals(service)) {
            service = newService;
            if (call != null) {
                call.endCall();
            }
            startWatching();
        }
    }

    /** Requests the full list again, to be read with another reader. */
    public void refetchWith(ListReader newReader) {
        listReader = newReader;
        version = 0;
        if (call != null) {
            call.endCall();
            startWatching();
        }
    }

    private void startCall(long holdMs, boolean followsAnswer) {
        call = new Call(holdMs, followsAnswer);
        call.connect();
    }

    private final class Call implements Link.Listener {
        private final HttpResponseReader reader = new HttpResponseReader(loop.pool(), MAX_LIST_BYTES);
        private IoLoop.PendingTask responseTimer = () -> { };
        private final List<IoLoop.PendingTask> attempts = new ArrayList<>();
        /** Connection attempts that have neither succeeded nor failed. */
        private int pendingAttempts;
        private IoLoop.PendingTask extraAttemptTimer = () -> { };
        private final long firstHoldMs;
        private Link link;
        /** Whether the previous call was answered, so that the service is presumably still healthy. */
        private boolean isContinuation;

        Call(long firstHoldMs, boolean followsAnswer) {
            this.firstHoldMs = firstHoldMs;
            isContinuation = followsAnswer;
        }

        void connect() {
            pendingAttempts++;
            attempts.add(loop.connectReserved(service, CONNECT_TIMEOUT_MS, this::connected, this::attemptFailed));
            extraAttemptTimer = loop.scheduleAt(loop.nowMs() + EXTRA_ATTEMPT_MS, this::connectInParallel);
        }

        /**
         * Starts another attempt, as one hanging connection does not mean that the service is down; skipped if nodes and clients use all
         * descriptors.
         */
        private void connectInParallel() {
            if (loop.mayConnect()) {
                pendingAttempts++;
                attempts.add(loop.connect(service, CONNECT_TIMEOUT_MS, this::connected, this::attemptFailed));
            }
            if (attempts.size() < MAX_ATTEMPTS) {
                extraAttemptTimer = loop.scheduleAt(loop.nowMs() + EXTRA_ATTEMPT_MS, this::connectInParallel);
            }
        }

        private void attemptFailed(String cause) {
            pendingAttempts--;
            if (pendingAttempts == 0 && link == null) {
                fail(cause);
            }
        }

        private void connected(StreamConnection connection) {
            extraAttemptTimer.cancelTask();
            attempts.forEach(IoLoop.PendingTask::cancelTask);
            link = loop.createLink(connection, this);
            link.resume();
            sendRequest(firstHoldMs);
        }

        private void sendRequest(long holdMs) {
            responseTimer.cancelTask();
            responseTimer = loop.scheduleAt(loop.nowMs() + holdMs + RESPONSE_GRACE_MS, () -> fail("no response in time"));
            link.out().put("GET /registry/instances?from=" + version + "&hold_ms=" + holdMs
                    + " HTTP/1.1\r\nHost: list\r\n\r\n");
            link.flush();
        }

        @Override
        public void received(ByteBuffer bytes) {
            ParseStatus parsed = reader.read(bytes);
            if (parsed == ParseStatus.MALFORMED) {
                fail("malformed HTTP response");
            } else if (parsed == ParseStatus.DONE) {
                handleResponse(reader.staysOpen() && !bytes.hasRemaining()); // after unexpected bytes the connection cannot be trusted
            }
        }

        private void handleResponse(boolean staysOpen) {
            int status = reader.status();
            BufferChain body = reader.takeBody();
            NodeList list;
            try {
                if (status != 200) {
                    isContinuation = false; // the service itself reports that it is overloaded
                    throw new IOException("status " + status);
                }
                list = listReader.read(body.bytes());
            } catch (IOException | RuntimeException e) { // after an invalid list the old one stays
                fail(e.getMessage());
                return;
            } finally {
                body.release();
            }
            version = list.version();
            backoffMs = BACKOFF_MS;
            isContinuation = true;
            if (staysOpen) {
                sendRequest(holdMs());
            } else {
                endCall();
                startCall(holdMs(), true);
            }
            onList.accept(list);
        }

        @Override
        public void endOfStream() {
            if (reader.isCompleteAtClose()) {
                handleResponse(false);
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
                endCall();
                if (isContinuation) { // the first call after an answered one is made without back-off
                    LOG.log(Level.INFO, "list: the watch is opened anew: {0}", cause);
                    loop.scheduleAt(loop.nowMs() + REOPEN_JITTER_MS * random.nextDouble(), ListWatch.this::startWatching);
                    return;
                }
                onFailure.accept(cause);
                if (isPermanent) {
                    loop.scheduleAt(loop.nowMs() + adjustBackoff.applyAsDouble(backoffMs), ListWatch.this::startWatching);
                    backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
                }
            }
        }

        private void endCall() {
            call = null;
            responseTimer.cancelTask();
            extraAttemptTimer.cancelTask();
            attempts.forEach(IoLoop.PendingTask::cancelTask);
            reader.release();
            if (link != null) {
                link.close();
            }
        }
    }
}
