package dappleseam.control;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The operators' HTTP endpoint, on a thread of its own. It only reads published state and only posts work to the I/O thread,
 * so it answers however busy the proxy is. One request per connection.
 */
public final class ControlServer {
    private static final Logger LOG = System.getLogger(ControlServer.class.getName());
    /** Maximum number of concurrent connections. {@link #DESCRIPTORS} adds the listener's and the selector's own. */
    private static final int MAX_CONNECTIONS = 12;
    public static final int DESCRIPTORS = MAX_CONNECTIONS + 4;
    private static final int BACKLOG = 64;
    /** Time in ms in which a request has to arrive, be answered and be closed by the caller: more than a caller waits. */
    private static final long CONNECTION_TIMEOUT_MS = 3000;
    /** Interval in ms at which expired connections are closed and the periodic task runs. */
    private static final long POLL_INTERVAL_MS = 100;
    private static final int BUFFER_BYTES = 8 << 10;
    /** Path prefix of the request that marks a fleet member as ended; the member's name follows. */
    private static final String ENDED_PATH = "/control/fleet/ended/";

    private final ServiceControl service;
    private final Metrics metrics;
    private final FleetControl fleet;
    private final Runnable periodicTask;
    private final Selector selector;
    private final ServerSocketChannel listener;
    private final ByteBuffer scratch = ByteBuffer.allocate(BUFFER_BYTES);
    private final List<Connection> connections = new ArrayList<>();

    /** An operator's connection with its one request and the response. */
    private static final class Connection {
        final SocketChannel channel;
        final HttpRequestReader request = new HttpRequestReader();
        final long openedNanos = System.nanoTime();
        ByteBuffer response;
        SelectionKey key;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        boolean isExpired() {
            return System.nanoTime() - openedNanos > CONNECTION_TIMEOUT_MS * 1_000_000;
        }
    }

    /** Starts listening. {@code periodicTask} runs at short intervals on the control thread; {@code fleet} is null if the proxy is in no fleet. */
    public ControlServer(InetSocketAddress address, ServiceControl service, Metrics metrics, FleetControl fleet, Runnable periodicTask) throws IOException {
        this.service = service;
        this.metrics = metrics;
        this.fleet = fleet;
        this.periodicTask = periodicTask;
        listener = ServerSocketChannel.open();
        try {
            selector = Selector.open();
        } catch (IOException e) {
            listener.close();
            throw e;
        }
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.configureBlocking(false);
            listener.bind(address, BACKLOG);
            listener.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            listener.close();
            selector.close();
            throw e;
        }
        Thread thread = new Thread(this::serve, "door");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve() {
        long polledAt = System.nanoTime();
        while (true) {
            try {
                selector.select(POLL_INTERVAL_MS);
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) {
                        accept();
                    } else if (key.isValid()) {
                        handleReady((Connection) key.attachment());
                    }
                }
                selector.selectedKeys().clear();
                if (System.nanoTime() - polledAt > POLL_INTERVAL_MS * 1_000_000) {
                    polledAt = System.nanoTime();
                    List.copyOf(connections).stream().filter(Connection::isExpired).forEach(this::closeConnection);
                    periodicTask.run();
                }
            } catch (IOException | RuntimeException | Error e) { // an error must not stop the server
                LOG.log(Level.WARNING, "control server: {0}", e.toString());
                pauseAfterError();
            }
        }
    }

    /** Avoids a busy loop on an error that recurs at once, such as a lack of descriptors. */
    private static void pauseAfterError() {
        try {
            Thread.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() throws IOException {
        for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
            if (connections.size() >= MAX_CONNECTIONS) { // the oldest one makes room, so that incomplete requests cannot block others
                connections.stream().min(Comparator.comparingLong(c -> c.openedNanos)).ifPresent(this::closeConnection);
            }
            Connection connection = new Connection(channel);
            connections.add(connection);
            try {
                channel.configureBlocking(false);
                connection.key = channel.register(selector, SelectionKey.OP_READ, connection);
                handleReady(connection);
            } catch (IOException e) {
                closeConnection(connection);
            }
        }
    }

    private void handleReady(Connection connection) {
        try {
            if (connection.response != null && connection.response.hasRemaining()) {
                write(connection);
            } else {
                read(connection);
            }
        } catch (IOException e) { // the caller has closed the connection
            closeConnection(connection);
        } catch (RuntimeException | Error e) { // costs this caller only
            LOG.log(Level.ERROR, "control server: a connection failed", e);
            closeConnection(connection);
        }
    }

    private void read(Connection connection) throws IOException {
        scratch.clear();
        int count = connection.channel.read(scratch);
        if (count < 0) {
            closeConnection(connection);
        } else if (connection.response == null && connection.request.read(scratch.flip())) {
            connection.response = ByteBuffer.wrap(respondOrFail(connection.request));
            write(connection);
        }
    }

    /** Only shuts down the output once all is written, and closes when the caller does: closing at once could truncate the response. */
    private void write(Connection connection) throws IOException {
        connection.channel.write(connection.response);
        if (connection.response.hasRemaining()) {
            connection.key.interestOps(SelectionKey.OP_WRITE);
        } else {
            connection.key.interestOps(SelectionKey.OP_READ);
            connection.channel.shutdownOutput();
        }
    }

    private void closeConnection(Connection connection) {
        connections.remove(connection);
        try {
            connection.channel.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "control server: closing a connection failed: {0}", e.toString());
        }
    }

    /** An error of the program costs the one call. */
    private byte[] respondOrFail(HttpRequestReader request) {
        try {
            return respond(request);
        } catch (RuntimeException | Error e) {
            LOG.log(Level.ERROR, "control server: " + request.path() + " failed", e);
            return HttpRequestReader.response(500, "internal error\n");
        }
    }

    private byte[] respond(HttpRequestReader request) {
        if (request.errorStatus() != 0) {
            return HttpRequestReader.response(request.errorStatus(), "malformed call\n");
        }
        String endedMember = fleet != null && request.path().startsWith(ENDED_PATH) ? request.path().substring(ENDED_PATH.length()) : null;
        String allowedMethod = endedMember != null ? "POST" : switch (request.path()) {
            case "/control/ready", "/control/counters" -> "GET";
            case "/control/out-of-service", "/control/in-service" -> "POST";
            case "/control/fleet" -> fleet == null ? null : "GET";
            default -> null;
        };
        if (allowedMethod == null) {
            return HttpRequestReader.response(404, "no such call\n");
        }
        if (!request.method().equals(allowedMethod)) {
            return HttpRequestReader.response(405, "use " + allowedMethod + "\n");
        }
        if (endedMember != null) {
            return endedResponse(fleet.reportEnded(endedMember));
        }
        switch (request.path()) {
            case "/control/fleet" -> {
                return HttpRequestReader.response(200, fleet.viewJson());
            }
            case "/control/ready" -> {
                boolean ready = service.isReady();
                return HttpRequestReader.response(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
            }
            case "/control/counters" -> {
                return HttpRequestReader.response(200, fleet == null ? metrics.prometheusText() : metrics.prometheusText() + fleet.metrics());
            }
            case "/control/out-of-service" -> {
                return serviceResponse(service.takeOutOfService());
            }
            default -> {
                return serviceResponse(service.returnToService());
            }
        }
    }

    private static byte[] endedResponse(FleetControl.EndedReport report) {
        return switch (report) {
            case ACCEPTED -> HttpRequestReader.response(200, "done\n");
            case INVALID_NAME -> HttpRequestReader.response(400, "no name of a member\n");
            case NOT_FAILED -> HttpRequestReader.response(409, "no failed member has this name\n");
            case NOT_JOINED -> HttpRequestReader.response(503, "this process is not in the fleet\n");
        };
    }

    private static byte[] serviceResponse(ServiceControl.Result result) {
        return switch (result) {
            case ACCEPTED -> HttpRequestReader.response(200, "done\n");
            case ENDING -> HttpRequestReader.response(503, "the process is ending\n");
            case OTHER_PROCESS_NOT_TOLD -> HttpRequestReader.response(503, "the other process on the address cannot be told\n");
        };
    }
}
