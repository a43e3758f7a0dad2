package org.xnio.nio;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;

/**
 * A listener whose address can be shared with other processes (SO_REUSEPORT), with a limit on the number of open connections.
 * It accepts on the worker's first I/O thread and reports failed accepts to the caller. XNIO 3.8.16 has no option for SO_REUSEPORT, and its
 * own listener hides failed accepts behind a back-off of 250 ms.
 */
public final class ReusePortListener extends NioHandle implements Closeable {
    private final ServerSocketChannel channel;
    private final Runnable onAcceptable;
    private final AtomicInteger openConnections = new AtomicInteger();
    private volatile int maxConnections;
    private volatile boolean atLimit;

    private ReusePortListener(WorkerThread thread, SelectionKey key, ServerSocketChannel channel, int maxConnections, Runnable onAcceptable) {
        super(thread, key);
        this.channel = channel;
        this.maxConnections = maxConnections;
        this.onAcceptable = onAcceptable;
    }

    /**
     * Starts listening; must be called on the I/O thread, where {@code onAcceptable} is run when connections may be waiting.
     *
     * @throws IOException if no socket is available or the address is in use
     */
    public static ReusePortListener open(XnioWorker worker, InetSocketAddress address, int backlog, int maxConnections, Runnable onAcceptable) throws IOException {
        WorkerThread thread = (WorkerThread) worker.getIoThread(0);
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (channel.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            } // otherwise only one process can use the address, which is better than none
            channel.configureBlocking(false);
            channel.bind(address, backlog);
            ReusePortListener listener = new ReusePortListener(thread, thread.registerChannel(channel), channel, maxConnections, onAcceptable);
            listener.getSelectionKey().attach(listener);
            listener.resumeAccepts();
            return listener;
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }

    /**
     * Makes the JDK determine whether SO_REUSEPORT is supported. It does so once, with a socket of its own, when any socket option is first
     * used, and treats a temporary failure at that moment as permanent; calling this first avoids that.
     *
     * @throws IOException if no socket is available now; nothing has been determined then
     */
    public static void probeReusePort() throws IOException {
        try (ServerSocketChannel channel = ServerSocketChannel.open()) {
            channel.supportedOptions();
        }
    }

    /**
     * Accepts the next waiting connection; returns null if there is none, or the limit is reached.
     *
     * @throws IOException if accept failed: connections may still be waiting, and are not signalled again before the next call
     */
    public StreamConnection accept() throws IOException {
        while (channel.isOpen()) {
            atLimit = openConnections.get() >= maxConnections;
            if (atLimit && openConnections.get() >= maxConnections) { // checked again, as a connection may have closed before the flag was set
                suspendAccepts();
                return null;
            }
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return null;
            }
            StreamConnection connection = register(accepted);
            if (connection != null) {
                return connection;
            }
        }
        return null;
    }

    /** Registers an accepted connection; returns null if the peer has closed it meanwhile. */
    private StreamConnection register(SocketChannel accepted) {
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = getWorkerThread().registerChannel(accepted);
            openConnections.incrementAndGet();
            return new NioSocketStreamConnection(getWorkerThread(), key, this::connectionClosed);
        } catch (IOException e) {
            IoUtils.safeClose(accepted);
            return null;
        }
    }

    /** Called on any thread when a connection is closed. */
    private void connectionClosed() {
        openConnections.decrementAndGet();
        if (atLimit) {
            getWorkerThread().execute(this::resumeAccepting);
        }
    }

    private void resumeAccepting() {
        if (atLimit && channel.isOpen()) {
            resumeAccepts();
            onAcceptable.run();
        }
    }

    /** Whether connections may be waiting because the limit is reached. */
    public boolean isAtLimit() {
        return atLimit;
    }

    /** Changes the limit; open connections beyond it stay open. */
    public void setMaxConnections(int newMaximum) {
        maxConnections = newMaximum;
        resumeAccepting();
    }

    public void suspendAccepts() {
        suspend(SelectionKey.OP_ACCEPT);
    }

    public void resumeAccepts() {
        resume(SelectionKey.OP_ACCEPT);
    }

    public boolean isOpen() {
        return channel.isOpen();
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    @Override
    void handleReady(int ops) {
        onAcceptable.run();
    }

    @Override
    void forceTermination() {
        close();
    }

    @Override
    void terminated() {
        // nothing to release or report
    }

    /** Stops listening; connections that have not been accepted are reset. */
    @Override
    public void close() {
        cancelKey(false);
        IoUtils.safeClose(channel);
    }
}
