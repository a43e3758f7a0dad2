package dappleseam.lab.proxies;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;

/**
 * Allocates ports for proxies and reserves them until the run ends. A socket that is bound but does not listen keeps the system from assigning the port again;
 * a proxy can still listen there, because both set SO_REUSEPORT. Without it, the proxies of concurrent runs would share a port unnoticed.
 */
public final class PortAllocator implements AutoCloseable {
    private static final int MAX_TRIES = 50;

    private final List<Socket> reserved = new ArrayList<>();

    /** A port that is free for TCP and for UDP and is not given to anybody else. */
    public synchronized int allocate() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int i = 0; i < MAX_TRIES; i++) {
            Socket socket = new Socket();
            reserved.add(socket);
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(loopback, 0));
            try (DatagramSocket probe = new DatagramSocket(socket.getLocalPort(), loopback)) {
                return probe.getLocalPort();
            } catch (SocketException e) {
                continue; // in use for UDP: it stays reserved, and another port is tried
            }
        }
        throw new IOException("no port is free for both TCP and UDP");
    }

    @Override
    public synchronized void close() throws IOException {
        for (Socket socket : reserved) {
            socket.close();
        }
        reserved.clear();
    }
}
