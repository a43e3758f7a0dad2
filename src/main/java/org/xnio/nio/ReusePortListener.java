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
 * A listener on an address that another process may hold, too (SO_REUSEPORT), with a limit on the connections that are open at once.
 * It accepts on the worker's first I/O thread and reports a failed accept to the caller. XNIO 3.8.16 has no option for the first, and its
 * own listener hides the second behind a back-off of 250 ms.
 */
public final class ReusePortListener extends NioHandle implements Closeable {
    private final ServerSocketChannel channel;
    private final Runnable acceptable;
    private final AtomicInteger open = new AtomicInteger();
    private volatile int most;
    private volatile boolean atLimit;

    private ReusePortListener(WorkerThread thread, SelectionKey key, ServerSocketChannel channel, int most, Runnable acceptable) {
        super(thread, key);
        this.channel = channel;
        this.most = most;
        this.acceptable = acceptable;
    }

    /**
     * Listens from now on; to be called on the I/O thread, where {@code acceptable} is run when connections may wait.
     *
     * @throws IOException where no socket is to be had, or the address is not free
     */
    public static ReusePortListener open(XnioWorker worker, InetSocketAddress address, int backlog, int most, Runnable acceptable) throws IOException {
        WorkerThread thread = (WorkerThread) worker.getIoThread(0);
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (channel.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            } // else another process on the address is refused, which is better than none
            channel.configureBlocking(false);
            channel.bind(address, backlog);
            ReusePortListener port = new ReusePortListener(thread, thread.registerChannel(channel), channel, most, acceptable);
            port.getSelectionKey().attach(port);
            port.resumeAccepts();
            return port;
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }

    /**
     * Looks for once and for all whether addresses can be shared: the JDK asks the system with a socket of its own, at the first use of any
     * option, and takes a failure of that moment for good.
     *
     * @throws IOException where no socket is to be had now; nothing is settled then
     */
    public static void probeReusePort() throws IOException {
        try (ServerSocketChannel channel = ServerSocketChannel.open()) {
            channel.supportedOptions();
        }
    }

    /**
     * The next connection that waits; null where none does, or as many are open as may be.
     *
     * @throws IOException where accept failed: connections may wait still, and nothing is told of them before it is called again
     */
    public StreamConnection accept() throws IOException {
        while (channel.isOpen()) {
            atLimit = open.get() >= most;
            if (atLimit && open.get() >= most) { // looked at again: one may have closed before the mark was set
                suspendAccepts();
                return null;
            }
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return null;
            }
            StreamConnection connection = connection(accepted);
            if (connection != null) {
                return connection;
            }
        }
        return null;
    }

    /** Null where the peer has gone meanwhile. */
    private StreamConnection connection(SocketChannel accepted) {
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = getWorkerThread().registerChannel(accepted);
            open.incrementAndGet();
            return new NioSocketStreamConnection(getWorkerThread(), key, this::closed);
        } catch (IOException e) {
            IoUtils.safeClose(accepted);
            return null;
        }
    }

    /** On whichever thread a connection is closed. */
    private void closed() {
        open.decrementAndGet();
        if (atLimit) {
            getWorkerThread().execute(this::acceptAgain);
        }
    }

    private void acceptAgain() {
        if (atLimit && channel.isOpen()) {
            resumeAccepts();
            acceptable.run();
        }
    }

    /** Whether connections may wait because as many are open as may be. */
    public boolean isAtLimit() {
        return atLimit;
    }

    /** From now on so many may be open; those beyond stay. */
    public void setMaxConnections(int newMost) {
        most = newMost;
        acceptAgain();
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
        acceptable.run();
    }

    @Override
    void forceTermination() {
        close();
    }

    @Override
    void terminated() {
        // nothing more is told of it
    }

    /** Connections that have not been accepted are reset. */
    @Override
    public void close() {
        cancelKey(false);
        IoUtils.safeClose(channel);
    }
}
