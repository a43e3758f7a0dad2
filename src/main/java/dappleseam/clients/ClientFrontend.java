package dappleseam.clients;

import dappleseam.diagnostics.CloseReason;
import dappleseam.diagnostics.RateLimitedLog;
import dappleseam.diagnostics.ReasonCounter;
import dappleseam.query.Slots;
import dappleseam.wire.IoLoop;
import dappleseam.wire.Link;
import dappleseam.wire.NextTurnTask;
import java.io.IOException;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.nio.ReusePortListener;

/** Accepts client connections, limits their number and their buffers, and closes them on shutdown or when out of service. */
public final class ClientFrontend {
    /** The answers to PING while clients are taken, and while they are not. */
    public static final String PONG = "+PONG";
    public static final String OUT_OF_SERVICE = "-ERR out of service";
    private static final Logger LOG = System.getLogger(ClientFrontend.class.getName());
    private static final int BACKLOG = 512;
    /** Connections accepted in a turn; others are served before the next ones. */
    private static final int MAX_ACCEPTS = 16;
    /** Connections kept free for new clients, by evicting clients with no pending reply. */
    private static final int RESERVED_CONNECTIONS = 8;
    /** Share of the clients' own connection limit that idle clients may use; the rest is left for a burst. */
    private static final double IDLE_SHARE = 0.75;
    /** Share of all connections that may linger after their end. */
    private static final double LINGERING_SHARE = 0.125;
    /** Interval in ms of the checks for idle clients while they exceed that share; only a few clients connect in that time. */
    private static final double RECHECK_MS = 50;
    /**
     * Initial and maximum back-off in ms after a failed accept: short compared with the shortest deadline, long compared with a call that fails
     * immediately.
     */
    private static final double ACCEPT_BACKOFF_MS = 2;
    private static final double MAX_ACCEPT_BACKOFF_MS = 20;
    /** Minimum interval in ms between two log lines about failed accepts, and about connections closed over open queries. */
    private static final double LOG_INTERVAL_MS = 1000;
    /** Time in ms for which load balancers may still send clients here after a PING was answered with an error. */
    private static final double OUT_OF_SERVICE_GRACE_MS = 400;

    /**
     * Time in ms after that grace period from which clients that have sent queries are not read any more: one that is never idle would stay
     * forever.
     */
    private static final double STOP_READING_AFTER_MS = 1000;

    /** Ids named at most in a log line. */
    private static final int MAX_LOGGED_IDS = 8;

    private final IoLoop loop;
    private final QueryHandler handler;
    private final ReasonCounter<CloseReason> closes;
    private final BooleanSupplier takesClients;
    private final RateLimitedLog lossLog = new RateLimitedLog(LOG, LOG_INTERVAL_MS);
    private final RateLimitedLog acceptLog = new RateLimitedLog(LOG, LOG_INTERVAL_MS);
    private int maxConnections;
    private final int maxQueryingClients;
    private int queryingClients;
    private boolean trimScheduled;
    private final ReceiveBudget receiveBudget;
    private final ReadShare readShare;
    private final HoldBudget holdBudget;
    private final Slots<ClientConnection> connections = new Slots<>();
    private final LingeringConnections lingering;
    private ReusePortListener listener;
    private boolean isStopping;
    /** Connections still accepted while stopping: as many as can have been waiting. */
    private int acceptsLeft = Integer.MAX_VALUE;
    /** Goes on accepting: the selector tells of connections that are waiting, but not that the last one has been accepted. */
    private final NextTurnTask nextAccepts;
    /** Since when connections may be waiting in the accept backlog; NaN if there are none. */
    private double backlogSince = Double.NaN;
    private double acceptBackoffMs = ACCEPT_BACKOFF_MS;
    private boolean isOutOfService;
    /** From when clients are closed as soon as they are idle. */
    private double closeIdleFrom = Double.POSITIVE_INFINITY;

    /**
     * Keeps up to {@code maxConnections} connections open, more wait in the backlog. {@code queryConnections} is the maximum number of
     * connections that clients open for queries. {@code closes} counts the connections that end. {@code takesClients} is what PING tells.
     */
    public ClientFrontend(IoLoop loop, QueryHandler handler, int maxConnections, int queryConnections, ReasonCounter<CloseReason> closes,
            BooleanSupplier takesClients) {
        this.loop = loop;
        this.handler = handler;
        this.closes = closes;
        this.takesClients = takesClients;
        receiveBudget = new ReceiveBudget(loop.pool());
        holdBudget = new HoldBudget(loop.pool());
        readShare = new ReadShare(loop);
        lingering = new LingeringConnections(loop);
        nextAccepts = new NextTurnTask(loop::executeNextTurn, this::acceptIfOpen);
        this.maxConnections = maxConnections;
        maxQueryingClients = (int) (IDLE_SHARE * queryConnections);
    }

    /** Changes the connection limit; open connections beyond it stay open. */
    public void setMaxConnections(int newMaximum) {
        maxConnections = newMaximum;
        if (isListening() && !isStopping) {
            listener.setMaxConnections(newMaximum);
        }
    }

    public boolean isListening() {
        return listener != null && listener.isOpen();
    }

    public void listen(XnioWorker worker, InetSocketAddress address) throws IOException {
        listener = ReusePortListener.open(worker, address, BACKLOG, maxConnections, this::acceptPending);
    }

    /**
     * Accepts the waiting connections, a bounded number in a turn: clients that connect as fast as they are served must not keep this thread. If accept
     * fails, which is transient, they stay in the backlog and it is retried soon.
     */
    private void acceptPending() {
        try {
            for (int i = 0; i < MAX_ACCEPTS; i++) {
                StreamConnection next = acceptsLeft > 0 ? listener.accept() : null;
                if (next == null) {
                    allAccepted();
                    return;
                }
                acceptsLeft -= isStopping ? 1 : 0;
                addOrClose(next);
            }
            markBacklog();
            nextAccepts.queue();
        } catch (IOException e) {
            retryAccept(e);
        }
    }

    private void acceptIfOpen() {
        if (listener.isOpen()) {
            acceptPending();
        }
    }

    private void allAccepted() {
        acceptBackoffMs = ACCEPT_BACKOFF_MS;
        if (listener.isAtLimit()) {
            markBacklog();
        } else {
            backlogSince = Double.NaN;
            if (isStopping) {
                listener.close();
            }
        }
    }

    private void retryAccept(IOException cause) {
        markBacklog();
        acceptLog.warn(loop.nowMs(), "accepting a client failed: " + cause.getMessage());
        listener.suspendAccepts(); // otherwise the thread would spin on it
        loop.scheduleAt(loop.nowMs() + acceptBackoffMs, () -> {
            if (listener.isOpen()) {
                listener.resumeAccepts();
                acceptPending();
            }
        });
        acceptBackoffMs = Math.min(MAX_ACCEPT_BACKOFF_MS, 2 * acceptBackoffMs);
    }

    /** Notes that connections may be waiting in the backlog from now on. */
    private void markBacklog() {
        if (Double.isNaN(backlogSince)) {
            backlogSince = loop.nowMs();
        }
    }

    /** How long a connection accepted now may have waited in the backlog, with a query already sent on it. */
    private double backlogAgeMs() {
        return Double.isNaN(backlogSince) ? 0 : loop.nowMs() - backlogSince;
    }

    /** An error with one client costs that one only. */
    private void addOrClose(StreamConnection connection) {
        try {
            addClient(connection, backlogAgeMs());
        } catch (RuntimeException | Error e) {
            acceptLog.warn(loop.nowMs(), "a new client is closed after an internal error: " + e);
            IoUtils.safeClose(connection);
        }
    }

    /** Adds a newly accepted client connection. */
    public void addClient(StreamConnection connection) {
        addClient(connection, 0);
    }

    private void addClient(StreamConnection connection, double waitedMs) {
        if (connections.isFull(maxConnections)) {
            IoUtils.safeClose(connection);
            return;
        }
        evictIfNearlyFull();
        ClientConnection client = new ClientConnection(loop, connection, handler, this);
        client.start(connections.put(client), waitedMs);
    }

    /** Frees a descriptor when nearly all are in use, so that hundreds of silent clients do not lock out the others. */
    private void evictIfNearlyFull() {
        if (connections.used() + lingering.count() >= maxConnections - RESERVED_CONNECTIONS && !lingering.closeOne(false)) {
            connections.all().stream().filter(ClientConnection::hasNothingPending).min(ClientConnection.BY_EVICTION_ORDER)
                    .ifPresentOrElse(ClientConnection::closeToFreeSlot, () -> lingering.closeOne(true));
        }
    }

    /** The buffers for values being received, shared by all connections. */
    ReceiveBudget receiveBudget() {
        return receiveBudget;
    }

    /** The commands read in a turn, shared by all connections. */
    ReadShare readShare() {
        return readShare;
    }

    /** The buffers for large values that are held back, shared by all connections. */
    HoldBudget holdBudget() {
        return holdBudget;
    }

    /** Called when a client has sent its first query. */
    void firstQueryReceived() {
        queryingClients++;
    }

    /** Lets a connection that has ended linger until its client has received what was sent, or for a limited time. */
    void linger(Link link, boolean hasLargeReply) {
        lingering.add(link, hasLargeReply, (int) (LINGERING_SHARE * maxConnections));
    }

    /** Called when a connection is closed over replies that have not been sent. */
    void logUnsentReplies(CloseReason reason, long bytes) {
        lossLog.warn(loop.nowMs(), "client connection closed: " + reason + ", with " + bytes + " reply bytes not sent");
    }

    /** Called with the ids of the queries that got no whole answer when their connection ended. */
    void logUnanswered(CloseReason reason, List<String> ids) {
        boolean byProxy = reason != CloseReason.CLIENT_LEFT && reason != CloseReason.CONNECTION_FAILED;
        if (byProxy && !ids.isEmpty()) {
            lossLog.warn(loop.nowMs(), "client connection closed: " + reason + ", with no whole answer to " + ids.size() + " queries: "
                    + String.join(", ", ids.subList(0, Math.min(MAX_LOGGED_IDS, ids.size()))));
        }
    }

    void connectionClosed(int slot, boolean hadQueried, CloseReason reason) {
        if (connections.get(slot) != null) {
            closes.count(reason);
            queryingClients -= hadQueried ? 1 : 0;
            connections.free(slot);
        }
    }

    /**
     * Called when a client has no pending reply any more. Clients share a limited number of connections; if all of them sat idle here after
     * one query, no other could be opened, so the excess of idle ones is closed. Clients that send queries continuously are left alone:
     * closing them under load would only mean accepting them again.
     */
    void connectionIdle() {
        if (queryingClients > maxQueryingClients && !trimScheduled) {
            trimScheduled = true;
            loop.scheduleAt(loop.nowMs() + RECHECK_MS, () -> {
                trimScheduled = false;
                connections.all().stream().filter(ClientConnection::isQuiescent)
                        .sorted(ClientConnection.BY_EVICTION_ORDER).limit(Math.max(0, queryingClients - maxQueryingClients))
                        .forEach(ClientConnection::closeIfIdle);
                connectionIdle();
            });
        }
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** Hands the clients over to another process: stops accepting, and closes each client as soon as it is idle. */
    public void handOver() {
        stopListening();
        closeIdleFrom = loop.nowMs();
    }

    /** Stops listening after accepting what is already in the backlog, which closing the listener would reset; that may take a few turns. */
    public void stopListening() {
        isStopping = true;
        acceptsLeft = BACKLOG;
        listener.setMaxConnections(Integer.MAX_VALUE);
        acceptPending();
    }

    /** Goes out of service: after a grace period, closes connections as they become idle. */
    public void takeOutOfService() {
        if (!isOutOfService) {
            isOutOfService = true;
            closeIdleFrom = loop.nowMs() + OUT_OF_SERVICE_GRACE_MS;
            loop.scheduleAt(closeIdleFrom, this::closeIdleWhileOutOfService);
        }
    }

    /** Returns to service. */
    public void returnToService() {
        isOutOfService = false;
        closeIdleFrom = Double.POSITIVE_INFINITY;
    }

    /** Whether PING is answered with a yes. */
    boolean takesClients() {
        return takesClients.getAsBoolean();
    }

    /** Whether clients are closed as soon as they are idle. */
    boolean isClosingIdle() {
        return loop.nowMs() >= closeIdleFrom;
    }

    private void closeIdleWhileOutOfService() {
        if (isClosingIdle()) {
            closeIdle();
            if (loop.nowMs() >= closeIdleFrom + STOP_READING_AFTER_MS) {
                connections.all().stream().filter(ClientConnection::hasQueried).forEach(ClientConnection::stopReading);
            }
            loop.scheduleAt(loop.nowMs() + RECHECK_MS, this::closeIdleWhileOutOfService);
        }
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        connections.all().forEach(ClientConnection::closeIfIdle);
    }

    /** Stops reading from all clients, as the process ends; pending replies are still written. */
    public void stopReading() {
        connections.all().forEach(ClientConnection::stopReadingAtOnce);
    }

    public boolean hasClients() {
        return connections.used() > 0;
    }

    /** Whether a client may still be receiving a large value, on a connection that has ended otherwise. */
    public boolean isDeliveringLargeReply() {
        return lingering.hasLargeReply();
    }
}
