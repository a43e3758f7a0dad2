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
 * Ports for proxies, held until the rehearsal ends: a bound socket that does not listen keeps the system from giving the number away, and
 * lets a proxy listen there, as both allow it. Guards rehearsals beside each other: proxies share a port without a word.
 */
public final class Ports implements AutoCloseable {
    private static final int TRIES = 50;

    private final List<Socket> held = new ArrayList<>();

    /** One that nobody else is given, for TCP and for datagrams. */
    public synchronized int take() throws IOException {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        for (int i = 0; i < TRIES; i++) {
            Socket socket = new Socket();
            held.add(socket);
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(here, 0));
            try (DatagramSocket free = new DatagramSocket(socket.getLocalPort(), here)) {
                return free.getLocalPort();
            } catch (SocketException e) {
                continue; // taken for datagrams: it stays held, and another is tried
            }
        }
        throw new IOException("no port is free");
    }

    @Override
    public synchronized void close() throws IOException {
        for (Socket socket : held) {
            socket.close();
        }
        held.clear();
    }
}
