package dappleseam.clients;

import dappleseam.query.Slots;
import dappleseam.wire.Loop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.SharedPort;

/** Where clients connect. */
public final class ClientFront {
    private static final Logger LOG = System.getLogger(ClientFront.class.getName());
    private static final int BACKLOG = 512;
    /** Share of the buffers for long values on their way in. */
    private static final double SHARE_FOR_LONG = 0.3;
    /** Connections kept free, where nothing is owed on some, for those that come next. */
    private static final int KEPT_FREE = 8;
    /** Share of the clients' own limit that those with nothing owed may take; the rest is for a burst. */
    private static final double IDLE_SHARE = 0.75;
    /** Time in ms between looks at who is idle while they have more: a few clients connect in that time. */
    private static final double LOOK_AGAIN_MS = 50;
    /** Time in ms for which clients go on being sent here once a PING is answered no. */
    private static final double SENT_MORE_MS = 400;

    private final Loop loop;
    private final Queries queries;
    private int most;
    private final int roomToAsk;
    private int asking;
    private boolean makingRoom;
    /** Bytes of buffers that long values may take which have begun to come. */
    private long granted;
    private final Slots<ClientConnection> connections = new Slots<>();
    private AcceptingChannel<StreamConnection> server;
    private boolean sendsAway;
    /** When clients are to be closed as they fall idle. */
    private double closesFrom = Double.POSITIVE_INFINITY;

    /** Takes {@code most} connections at once, more wait to be accepted; clients open {@code mostAsking} for queries. */
    public ClientFront(Loop loop, Queries queries, int most, int mostAsking) {
        this.loop = loop;
        this.queries = queries;
        this.most = most;
        roomToAsk = (int) (IDLE_SHARE * mostAsking);
    }

    /** Takes so many connections at once from now on; those it has beyond that stay. */
    public void limit(int newMost) throws IOException {
        most = newMost;
        if (server != null) {
            server.setOption(Options.CONNECTION_LOW_WATER, Math.min(most, lowWater()));
            server.setOption(Options.CONNECTION_HIGH_WATER, most);
            server.setOption(Options.CONNECTION_LOW_WATER, most - 1);
        }
    }

    private int lowWater() throws IOException {
        return server.getOption(Options.CONNECTION_LOW_WATER);
    }

    public boolean isListening() {
        return server != null && server.isOpen();
    }

    public void listen(XnioWorker worker, InetSocketAddress address) throws IOException {
        server = SharedPort.open(worker, address, this::acceptable, OptionMap.builder()
                .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true).set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, most).set(Options.CONNECTION_LOW_WATER, most - 1).getMap());
        server.resumeAccepts();
    }

    private void acceptable(AcceptingChannel<StreamConnection> channel) {
        try {
            StreamConnection connection = channel.accept();
            while (connection != null) {
                opened(connection);
                connection = channel.accept();
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "accepting a client failed: {0}", e.getMessage());
        }
    }

    /** A client has connected. */
    public void opened(StreamConnection connection) {
        if (connections.isFull(most)) {
            IoUtils.safeClose(connection);
            return;
        }
        makeRoom();
        ClientConnection client = new ClientConnection(loop, connection, queries, this);
        client.open(connections.put(client));
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
            loop.at(loop.nowMs() + LOOK_AGAIN_MS, () -> {
                makingRoom = false;
                connections.all().stream().filter(ClientConnection::hasSettled)
                        .sorted(ClientConnection.BY_USE).limit(Math.max(0, asking - roomToAsk))
                        .forEach(ClientConnection::closeIfIdle);
                fellIdle();
            });
        }
    }

    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** Accepts no more, and closes clients as they fall idle: another process takes them. */
    public void handOver() {
        stopListening();
        closesFrom = loop.nowMs();
    }

    /** Accepts no more, but for what has connected already: what is queued at a listener that closes is reset. */
    public void stopListening() {
        try {
            server.setOption(Options.CONNECTION_HIGH_WATER, Integer.MAX_VALUE);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "some clients may be reset: {0}", e.getMessage());
        }
        acceptable(server);
        IoUtils.safeClose(server);
    }

    /** Sends clients away from now on: a PING is answered no, and connections close as they fall idle. */
    public void outOfService() {
        if (!sendsAway) {
            sendsAway = true;
            closesFrom = loop.nowMs() + SENT_MORE_MS;
            loop.at(closesFrom, this::closeIdleWhileAway);
        }
    }

    /** Takes clients again. */
    public void inService() {
        sendsAway = false;
        closesFrom = Double.POSITIVE_INFINITY;
    }

    public boolean sendsAway() {
        return sendsAway;
    }

    /** Whether a client is closed as soon as nothing is owed to it. */
    boolean closesIdle() {
        return loop.nowMs() >= closesFrom;
    }

    private void closeIdleWhileAway() {
        if (closesIdle()) {
            closeIdle();
            loop.at(loop.nowMs() + LOOK_AGAIN_MS, this::closeIdleWhileAway);
        }
    }

    /** Ends the connections on which nothing is owed. */
    public void closeIdle() {
        connections.all().forEach(ClientConnection::closeIfIdle);
    }

    /** From now on no query is taken of any client; what is owed is still written. */
    public void takeNoMore() {
        connections.all().forEach(ClientConnection::takeNoMore);
    }

    public boolean hasClients() {
        return connections.used() > 0;
    }
}
