package dappleseam.clients;

import dappleseam.query.Slots;
import dappleseam.wire.IoLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.nio.ReusePortListener;

/** Where clients connect. */
public final class ClientFrontend {
    private static final Logger LOG = System.getLogger(ClientFrontend.class.getName());
    private static final int BACKLOG = 512;
    /** Share of the buffers for long values on their way in. */
    private static final double SHARE_FOR_LONG = 0.3;
    /** Connections kept free, where nothing is owed on some, for those that come next. */
    private static final int KEPT_FREE = 8;
    /** Share of the clients' own limit that those with nothing owed may take; the rest is for a burst. */
    private static final double IDLE_SHARE = 0.75;
    /** Time in ms between looks at who is idle while they have more: a few clients connect in that time. */
    private static final double LOOK_AGAIN_MS = 50;
    /** Back-off in ms after a failed accept, first and most: short beside the shortest deadline, long beside a call that fails at once. */
    private static final double ACCEPT_AGAIN_MS = 2;
    private static final double ACCEPT_AGAIN_MOST_MS = 20;
    /** Least time in ms between two lines of the log about it. */
    private static final double LOGS_APART_MS = 1000;
    /** Time in ms for which clients go on being sent here once a PING is answered no. */
    private static final double SENT_MORE_MS = 400;

    /** Time in ms after that from which nothing more is read of clients that have asked: one that is never idle would stay for good. */
    private static final double LAST_READ_MS = 1000;

    private final IoLoop loop;
    private final QueryHandler queries;
    private int most;
    private final int roomToAsk;
    private int asking;
    private boolean makingRoom;
    /** Bytes of buffers that long values may take which have begun to come. */
    private long granted;
    private final Slots<ClientConnection> connections = new Slots<>();
    private ReusePortListener port;
    private boolean isStopping;
    /** Since when connections may wait to be accepted; NaN where none does. */
    private double backlogSince = Double.NaN;
    private double acceptAgainMs = ACCEPT_AGAIN_MS;
    private double acceptLoggedAt = Double.NEGATIVE_INFINITY;
    private boolean isOutOfService;
    /** When clients are to be closed as they fall idle. */
    private double closesFrom = Double.POSITIVE_INFINITY;

    /** Takes {@code most} connections at once, more wait to be accepted; clients open {@code mostAsking} for queries. */
    public ClientFrontend(IoLoop loop, QueryHandler queries, int most, int mostAsking) {
        this.loop = loop;
        this.queries = queries;
        this.most = most;
        roomToAsk = (int) (IDLE_SHARE * mostAsking);
    }

    /** Takes so many connections at once from now on; those it has beyond that stay. */
    public void setMaxConnections(int newMost) {
        most = newMost;
        if (isListening() && !isStopping) {
            port.setMaxConnections(newMost);
        }
    }

    public boolean isListening() {
        return port != null && port.isOpen();
    }

    public void listen(XnioWorker worker, InetSocketAddress address) throws IOException {
        port = ReusePortListener.open(worker, address, BACKLOG, most, this::acceptWaiting);
    }

    /** Takes all connections that wait. Where accept fails, which passes, they go on waiting and it is tried again soon. */
    private void acceptWaiting() {
        try {
            for (StreamConnection next = port.accept(); next != null; next = port.accept()) {
                addClient(next, backlogAgeMs());
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
        port.suspendAccepts(); // else the thread would spin on it
        loop.scheduleAt(loop.nowMs() + acceptAgainMs, () -> {
            if (port.isOpen()) {
                port.resumeAccepts();
                acceptWaiting();
            }
        });
        acceptAgainMs = Math.min(ACCEPT_AGAIN_MOST_MS, 2 * acceptAgainMs);
    }

    /** Connections may wait to be accepted from now on. */
    private void backlogWaits() {
        if (Double.isNaN(backlogSince)) {
            backlogSince = loop.nowMs();
        }
    }

    /** For how long a connection that is accepted now may have waited, with a query written to it. */
    private double backlogAgeMs() {
        return Double.isNaN(backlogSince) ? 0 : loop.nowMs() - backlogSince;
    }

    /** A client has connected. */
    public void addClient(StreamConnection connection) {
        addClient(connection, 0);
    }

    private void addClient(StreamConnection connection, double waitedMs) {
        if (connections.isFull(most)) {
            IoUtils.safeClose(connection);
            return;
        }
        makeRoom();
        ClientConnection client = new ClientConnection(loop, connection, queries, this);
        client.open(connections.put(client), waitedMs);
    }

    /** Guards honest clients against hundreds that connect and say nothing. */
    private void makeRoom() {
        if (connections.used() >= most - KEPT_FREE) {
            connections.all().stream().filter(ClientConnection::owesNothing).min(ClientConnection.BY_USE)
                    .ifPresent(ClientConnection::makeWay);
        }
    }

    /** Room for a long value of so many bytes: the same again, or 0 while there is none. */
    long grant(long bytes) {
        long room = (long) (SHARE_FOR_LONG * loop.pool().totalBytes()) - granted;
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

    /** A client has sent its first query. */
    void asked() {
        asking++;
    }

    void closed(int slot, boolean hadAsked) {
        asking -= hadAsked && connections.get(slot) != null ? 1 : 0;
        connections.free(slot);
    }

    /**
     * A client is owed nothing any more. Guards clients against those that ask once and keep their connection:
     * they hold so many at most, and with all of them idle here no other could be opened. Those that ask again and
     * again are left alone: what is closed under load only has to be accepted again.
     */
    void fellIdle() {
        if (asking > roomToAsk && !makingRoom) {
            makingRoom = true;
            loop.scheduleAt(loop.nowMs() + LOOK_AGAIN_MS, () -> {
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

    /** Accepts no more, and closes clients as they fall idle: another process takes them. */
    public void handOver() {
        stopListening();
        closesFrom = loop.nowMs();
    }

    /** Accepts no more, but for what has connected already: what is queued at a listener that closes is reset. */
    public void stopListening() {
        isStopping = true;
        port.setMaxConnections(Integer.MAX_VALUE);
        acceptWaiting();
    }

    /** Sends clients away from now on: a PING is answered no, and connections close as they fall idle. */
    public void takeOutOfService() {
        if (!isOutOfService) {
            isOutOfService = true;
            closesFrom = loop.nowMs() + SENT_MORE_MS;
            loop.scheduleAt(closesFrom, this::closeIdleWhileAway);
        }
    }

    /** Takes clients again. */
    public void returnToService() {
        isOutOfService = false;
        closesFrom = Double.POSITIVE_INFINITY;
    }

    public boolean isOutOfService() {
        return isOutOfService;
    }

    /** Whether a client is closed as soon as nothing is owed to it. */
    boolean closesIdle() {
        return loop.nowMs() >= closesFrom;
    }

    private void closeIdleWhileAway() {
        if (closesIdle()) {
            closeIdle();
            if (loop.nowMs() >= closesFrom + LAST_READ_MS) {
                connections.all().stream().filter(ClientConnection::hasAsked).forEach(ClientConnection::takeNoMore);
            }
            loop.scheduleAt(loop.nowMs() + LOOK_AGAIN_MS, this::closeIdleWhileAway);
        }
    }

    /** Ends the connections on which nothing is owed. */
    public void closeIdle() {
        connections.all().forEach(ClientConnection::closeIfIdle);
    }

    /** From now on no query is taken of any client; what is owed is still written. */
    public void stopReading() {
        connections.all().forEach(ClientConnection::takeNoMore);
    }

    public boolean hasClients() {
        return connections.used() > 0;
    }
}
