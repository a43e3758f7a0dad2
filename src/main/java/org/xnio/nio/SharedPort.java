package org.xnio.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A listener on an address that another process may hold, too (SO_REUSEPORT). XNIO 3.8.16 opens its listeners itself and has no
 * option for it; its server takes one that is open, but only within this package. It accepts on the I/O threads.
 */
public final class SharedPort {
    private static final int BACKLOG = 128;

    private SharedPort() {}

    public static AcceptingChannel<StreamConnection> open(XnioWorker worker, InetSocketAddress address,
            ChannelListener<? super AcceptingChannel<StreamConnection>> acceptable, OptionMap options)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            channel.configureBlocking(false);
            channel.bind(address, options.get(Options.BACKLOG, BACKLOG));
            NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, channel, options, false);
            server.setAcceptListener(acceptable);
            return server;
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }
}
