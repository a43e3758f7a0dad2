package dappleseam.clients;

import dappleseam.query.Slots;
import dappleseam.wire.Loop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.nio.SharedPort;

/** Accepts client connections, limits their number and their buffers, and closes them on shutdown or when out of service. */
public final class ClientFront {
    private static final Logger LOG = System.getLogger(ClientFront.class.getName());
    private static final int BACKLOG = 512;
    /** Share of the buffers for large values being received from clients. */
    private static final double SHARE_FOR_LONG = 0.3;
    /** Connections kept free for new clients, by evicting clients with no pending reply. */
    private static final int KEPT_FREE = 8;
    /** Share of the clients' own connection limit that idle clients may use; the rest is left for a burst. */
    private static final double IDLE_SHARE = 0.75;
    /** Interval in ms of the checks for idle clients while they exceed that share; only a few clients connect in that time. */
    private static final double LOOK_AGAIN_MS = 50;
    /**
     * Initial and maximum back-off in ms after a failed accept: short compared with the shortest deadline, long compared with a call that fails
     * immediately.
     */
    private static final double ACCEPT_AGAIN_MS = 2;
    private static final double ACCEPT_AGAIN_MOST_MS = 20;
    /** Minimum interval in ms between two log lines about failed accepts. */
    private static final double LOGS_APART_MS = 1000;
    /** Time in ms for which load balancers may still send clients here after a PING was answered with an error. */
    private static final double SENT_MORE_MS = 400;

    /**
     * Time in ms after that grace period from which clients that have sent queries are not read any more: one that is never idle would stay
     * forever.
     */
    private static final double LAST_READ_MS = 1000;

    private final Loop loop;
    private final Queries queries;
    private int most;
    private final int roomToAsk;
    private int asking;
    private boolean makingRoom;
    /** Buffer bytes granted to large values that are being received. */
    private long granted;
    private final Slots<ClientConnection> connections = new Slots<>();
    private SharedPort port;
    private boolean isStopping;
    /** Since when connections may be waiting in the accept backlog; NaN if there are none. */
    private double backlogSince = Double.NaN;
    private double acceptAgainMs = ACCEPT_AGAIN_MS;
    private double acceptLoggedAt = Double.NEGATIVE_INFINITY;
    private boolean sendsAway;
    /** From when clients are closed as soon as they are idle. */
    private double closesFrom = Double.POSITIVE_INFINITY;

    /**
     * Keeps up to {@code maxConnections} connections open, more wait in the backlog. {@code queryConnections} is the number of connections that clients
     * open for queries at most.
     */
    public ClientFront(Loop loop, Queries queries, int most, int mostAsking) {
        this.loop = loop;
        this.queries = queries;
        this.most = most;
        roomToAsk = (int) (IDLE_SHARE * mostAsking);
    }

    /** Changes the connection limit; open connections beyond it stay open. */
    public void limit(int newMost) {
        most = newMost;
        if (isListening() && !isStopping) {
            port.limit(newMost);
        }
    }

    public boolean isListening() {
        return port != null && port.isOpen();
    }

    public void listen(XnioWorker worker, InetSocketAddress address) throws IOException {
        port = SharedPort.open(worker, address, BACKLOG, most, this::acceptWaiting);
    }

    /** Accepts all waiting connections. If accept fails, which is transient, they stay in the backlog and it is retried soon. */
    private void acceptWaiting() {
        try {
            for (StreamConnection next = port.accept(); next != null; next = port.accept()) {
                opened(next, backlogAgeMs());
            }
        } catch (IOException e) {
            acceptLater(e);
            return;
        }
        acceptAgainMs = ACCEPT_AGAIN_MS;
        if (port.isAtLimit()) {
            backlogWaits();
        } else {
            backlogSince = Double.NaN;
            if (isStopping) {
                port.close();
            }
        }
    }

    private void acceptLater(IOException cause) {
        backlogWaits();
        if (loop.nowMs() >= acceptLoggedAt + LOGS_APART_MS) {
            acceptLoggedAt = loop.nowMs();
            LOG.log(Level.WARNING, "accepting a client failed: {0}", cause.getMessage());
        }
        port.suspendAccepts(); // otherwise the thread would spin on it
        loop.at(loop.nowMs() + acceptAgainMs, () -> {
            if (port.isOpen()) {
                port.resumeAccepts();
                acceptWaiting();
            }
        });
        acceptAgainMs = Math.min(ACCEPT_AGAIN_MOST_MS, 2 * acceptAgainMs);
    }

    /** Notes that connections may be waiting in the backlog from now on. */
    private void backlogWaits() {
        if (Double.isNaN(backlogSince)) {
            backlogSince = loop.nowMs();
        }
    }

    /** How long a connection accepted now may have waited in the backlog, with a query already sent on it. */
    private double backlogAgeMs() {
        return Double.isNaN(backlogSince) ? 0 : loop.nowMs() - backlogSince;
    }

    /** Adds a newly accepted client connection. */
    public void opened(StreamConnection connection) {
        opened(connection, 0);
    }

    private void opened(StreamConnection connection, double waitedMs) {
        if (connections.isFull(most)) {
            IoUtils.safeClose(connection);
            return;
        }
        makeRoom();
        ClientConnection client = new ClientConnection(loop, connection, queries, this);
        client.open(connections.put(client), waitedMs);
    }

    /** Evicts a client when nearly all connections are in use, so that hundreds of silent clients do not lock out the others. */
    private void makeRoom() {
        if (connections.used() >= most - KEPT_FREE) {
            connections.all().stream().filter(ClientConnection::owesNothing).min(ClientConnection.BY_USE)
                    .ifPresent(ClientConnection::makeWay);
        }
    }

    /** Grants buffers for a large value: returns {@code bytes}, or 0 if they are not available now. */
    long grant(long bytes) {
        long room = (long) (SHARE_FOR_LONG * loop.pool().all()) - granted;
        boolean onlyOne = granted == 0 && loop.pool().free() >= bytes;
        if (bytes > room && !onlyOne || loop.pool().free() - granted < bytes) {
            return 0;
        }
        granted += bytes;
        return bytes;
    }

    void giveBack(long bytes) {
        granted -= bytes;
    }

    /** Called when a client has sent its first query. */
    void asked() {
        asking++;
    }

    void closed(int slot, boolean hadAsked) {
        asking -= hadAsked && connections.get(slot) != null ? 1 : 0;
        connections.free(slot);
    }

    /**
     * Called when a client has no pending reply any more. Clients share a limited number of connections; if all of them sat idle here after
     * one query, no other could be opened, so the excess of idle ones is closed. Clients that send queries continuously are left alone:
     * closing them under load would only mean accepting them again.
     */
    void fellIdle() {
        if (asking > roomToAsk && !makingRoom) {
            makingRoom = true;
            loop.at(loop.nowMs() + LOOK_AGAIN_MS, () -> {
                makingRoom = false;
                connections.all().stream().filter(ClientConnection::hasSettled)
                        .sorted(ClientConnection.BY_USE).limit(Math.max(0, asking - roomToAsk))
                        .forEach(ClientConnection::closeIfIdle);
                fellIdle();
            });
        }
    }

    public InetSocketAddress address() throws IOException {
        return port.address();
    }

    /** Hands the clients over to another process: stops accepting, and closes each client as soon as it is idle. */
    public void handOver() {
        stopListening();
        closesFrom = loop.nowMs();
    }

    /** Stops listening after accepting what is already in the backlog, which closing the listener would reset. */
    public void stopListening() {
        isStopping = true;
        port.limit(Integer.MAX_VALUE);
        acceptWaiting();
    }

    /** Goes out of service: answers PING with an error and, after a grace period, closes connections as they become idle. */
    public void outOfService() {
        if (!sendsAway) {
            sendsAway = true;
            closesFrom = loop.nowMs() + SENT_MORE_MS;
            loop.at(closesFrom, this::closeIdleWhileAway);
        }
    }

    /** Returns to service. */
    public void inService() {
        sendsAway = false;
        closesFrom = Double.POSITIVE_INFINITY;
    }

    public boolean sendsAway() {
        return sendsAway;
    }

    /** Whether clients are closed as soon as they are idle. */
    boolean closesIdle() {
        return loop.nowMs() >= closesFrom;
    }

    private void closeIdleWhileAway() {
        if (closesIdle()) {
            closeIdle();
            if (loop.nowMs() >= closesFrom + LAST_READ_MS) {
                connections.all().stream().filter(ClientConnection::hasAsked).forEach(ClientConnection::takeNoMore);
            }
            loop.at(loop.nowMs() + LOOK_AGAIN_MS, this::closeIdleWhileAway);
        }
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        connections.all().forEach(ClientConnection::closeIfIdle);
    }

    /** Stops reading from all clients; pending replies are still written. */
    public void takeNoMore() {
        connections.all().forEach(ClientConnection::takeNoMore);
    }

    public boolean hasClients() {
        return connections.used() > 0;
    }
}
