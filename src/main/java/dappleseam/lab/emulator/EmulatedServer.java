package dappleseam.lab.emulator;

import dappleseam.diagnostics.ThreadTimes;
import dappleseam.lab.peer.BlockingIo;
import dappleseam.lab.peer.TimedInput;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Base of the emulated services: listens on a port of its own and serves each connection on a thread. */
abstract class EmulatedServer implements AutoCloseable {
    private static final int BACKLOG = 512;
    /** Attempts to bind to the port of a process that has just crashed, and the time in ms between two. */
    private static final int MAX_BIND_TRIES = 50;
    private static final long BIND_RETRY_MS = 20;

    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger acceptedCount = new AtomicInteger();
    private ServerSocket server;
    private final int port;

    EmulatedServer() throws IOException {
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
    }

    final void startAccepting() {
        ServerSocket listening = server;
        BlockingIo.startThread("accept", () -> {
            while (!listening.isClosed()) {
                ThreadTimes before = ThreadTimes.ofCurrentThread();
                Socket socket = listening.accept();
                long openedNanos = TimedInput.nowExcludingWait(before);
                socket.setTcpNoDelay(true);
                openSockets.add(socket);
                acceptedCount.incrementAndGet();
                BlockingIo.startThread("peer", () -> {
                    try (socket) {
                        serve(new TimedInput(socket.getInputStream(), openedNanos), socket.getOutputStream());
                    } finally {
                        openSockets.remove(socket);
                    }
                });
            }
        });
    }

    /** Serves one connection until it ends. */
    abstract void serve(TimedInput in, OutputStream out) throws IOException, InterruptedException;

    public int port() {
        return port;
    }

    /** Connections accepted so far. */
    int acceptedCount() {
        return acceptedCount.get();
    }

    int openConnections() {
        return openSockets.size();
    }

    /** Acts as a crashed process: resets its connections and refuses new ones. */
    final void crash() throws IOException {
        server.close();
        for (Socket socket : openSockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                continue; // closed by its own thread
            }
        }
    }

    /** Acts as a new process at the same address. */
    final void listenAgain() throws IOException {
        for (int tries = 1; ; tries++) {
            server = new ServerSocket();
            server.setReuseAddress(true);
            try {
                server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
                startAccepting();
                return;
            } catch (BindException e) { // the old listener keeps the port until its thread has returned from accept
                server.close();
                if (tries == MAX_BIND_TRIES) {
                    throw e;
                }
                sleepBeforeRetry();
            }
        }
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(BIND_RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
