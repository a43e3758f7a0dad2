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
public final class Door {
    private static final Logger LOG = System.getLogger(Door.class.getName());
    /** Maximum number of concurrent connections. {@link #DESCRIPTORS} adds the listener's and the selector's own. */
    private static final int MOST_CALLERS = 12;
    public static final int DESCRIPTORS = MOST_CALLERS + 4;
    private static final int BACKLOG = 64;
    /** Time in ms in which a request has to arrive, be answered and be closed by the caller: more than a caller waits. */
    private static final long CALLER_MS = 3000;
    /** Interval in ms at which expired connections are closed and the periodic task runs. */
    private static final long LOOK_MS = 100;
    private static final int BUFFER = 8 << 10;
    /** Path prefix of the request that marks a fleet member as ended; the member's name follows. */
    private static final String ENDED = "/control/fleet/ended/";

    private final Staff staff;
    private final Figures figures;
    private final FleetDesk fleet;
    private final Runnable look;
    private final Selector selector;
    private final ServerSocketChannel server;
    private final ByteBuffer scratch = ByteBuffer.allocate(BUFFER);
    private final List<Caller> callers = new ArrayList<>();

    /** An operator's connection with its one request and the response. */
    private static final class Caller {
        final SocketChannel channel;
        final CallReader call = new CallReader();
        final long sinceNanos = System.nanoTime();
        ByteBuffer answer;
        SelectionKey key;

        Caller(SocketChannel channel) {
            this.channel = channel;
        }

        boolean isLate() {
            return System.nanoTime() - sinceNanos > CALLER_MS * 1_000_000;
        }
    }

    /** Starts listening. {@code periodicTask} runs at short intervals on the control thread; {@code fleet} is null if the proxy is in no fleet. */
    public Door(InetSocketAddress address, Staff staff, Figures figures, FleetDesk fleet, Runnable look) throws IOException {
        this.staff = staff;
        this.figures = figures;
        this.fleet = fleet;
        this.look = look;
        server = ServerSocketChannel.open();
        try {
            selector = Selector.open();
        } catch (IOException e) {
            server.close();
            throw e;
        }
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.configureBlocking(false);
            server.bind(address, BACKLOG);
            server.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            server.close();
            selector.close();
            throw e;
        }
        Thread thread = new Thread(this::serve, "door");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve() {
        long lookedAt = System.nanoTime();
        while (true) {
            try {
                selector.select(LOOK_MS);
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) {
                        accept();
                    } else if (key.isValid()) {
                        ready((Caller) key.attachment());
                    }
                }
                selector.selectedKeys().clear();
                if (System.nanoTime() - lookedAt > LOOK_MS * 1_000_000) {
                    lookedAt = System.nanoTime();
                    List.copyOf(callers).stream().filter(Caller::isLate).forEach(this::end);
                    look.run();
                }
            } catch (IOException | RuntimeException e) { // an error must not stop the server
                LOG.log(Level.WARNING, "control server: {0}", e.toString());
                pauseAfterFault();
            }
        }
    }

    /** Avoids a busy loop on an error that recurs at once, such as a lack of descriptors. */
    private static void pauseAfterFault() {
        try {
            Thread.sleep(LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            if (callers.size() >= MOST_CALLERS) { // the oldest one makes room, so that incomplete requests cannot block others
                callers.stream().min(Comparator.comparingLong(c -> c.sinceNanos)).ifPresent(this::end);
            }
            Caller caller = new Caller(channel);
            callers.add(caller);
            try {
                channel.configureBlocking(false);
                caller.key = channel.register(selector, SelectionKey.OP_READ, caller);
                ready(caller);
            } catch (IOException e) {
                end(caller);
            }
        }
    }

    private void ready(Caller caller) {
        try {
            if (caller.answer != null && caller.answer.hasRemaining()) {
                write(caller);
            } else {
                read(caller);
            }
        } catch (IOException e) { // the caller has closed the connection
            end(caller);
        }
    }

    private void read(Caller caller) throws IOException {
        scratch.clear();
        int count = caller.channel.read(scratch);
        if (count < 0) {
            end(caller);
        } else if (caller.answer == null && caller.call.read(scratch.flip())) {
            caller.answer = ByteBuffer.wrap(answer(caller.call));
            write(caller);
        }
    }

    /** Only shuts down the output once all is written, and closes when the caller does: closing at once could truncate the response. */
    private void write(Caller caller) throws IOException {
        caller.channel.write(caller.answer);
        if (caller.answer.hasRemaining()) {
            caller.key.interestOps(SelectionKey.OP_WRITE);
        } else {
            caller.key.interestOps(SelectionKey.OP_READ);
            caller.channel.shutdownOutput();
        }
    }

    private void end(Caller caller) {
        callers.remove(caller);
        try {
            caller.channel.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "control server: closing a connection failed: {0}", e.toString());
        }
    }

    private byte[] answer(CallReader call) {
        if (call.fault() != 0) {
            return CallReader.answer(call.fault(), "malformed call\n");
        }
        String ended = fleet != null && call.path().startsWith(ENDED) ? call.path().substring(ENDED.length()) : null;
        String needed = ended != null ? "POST" : switch (call.path()) {
            case "/control/ready", "/control/counters" -> "GET";
            case "/control/out-of-service", "/control/in-service" -> "POST";
            case "/control/fleet" -> fleet == null ? null : "GET";
            default -> null;
        };
        if (needed == null) {
            return CallReader.answer(404, "no such call\n");
        }
        if (!call.method().equals(needed)) {
            return CallReader.answer(405, "use " + needed + "\n");
        }
        if (ended != null) {
            boolean named = fleet.hasEnded(ended);
            return CallReader.answer(named ? 200 : 400, named ? "done\n" : "no name of a member\n");
        }
        switch (call.path()) {
            case "/control/fleet" -> {
                return CallReader.answer(200, fleet.view());
            }
            case "/control/ready" -> {
                boolean ready = staff.isReady();
                return CallReader.answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
            }
            case "/control/counters" -> {
                return CallReader.answer(200, fleet == null ? figures.text() : figures.text() + fleet.figures());
            }
            case "/control/out-of-service" -> staff.outOfService();
            default -> staff.inService();
        }
        return CallReader.answer(200, "done\n");
    }
}
