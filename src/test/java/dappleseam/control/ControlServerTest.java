package dappleseam.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ControlServerTest {
    private static final int TIMEOUT_MS = 1000;

    /** A service that answers every call with an error of the program's own. */
    private static final ServiceControl FAILING = new ServiceControl() {
        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public Result takeOutOfService() {
            throw new IllegalStateException("planted");
        }

        @Override
        public Result returnToService() {
            throw new IllegalStateException("planted");
        }
    };

    /** Returns the port. */
    private static int startServer() throws IOException {
        while (true) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                InetSocketAddress address = (InetSocketAddress) free.getLocalSocketAddress();
                free.close();
                new ControlServer(address, FAILING, new Metrics(), null, () -> { });
                return address.getPort();
            } catch (BindException e) {
                continue; // another process took the port meanwhile
            }
        }
    }

    private static Socket send(int port, String request) throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
        caller.setSoTimeout(TIMEOUT_MS);
        caller.getOutputStream().write((request + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private static String answer(Socket caller) throws IOException {
        try (caller) {
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Guards against a call that fails in the program, gets no answer, and keeps the thread from other callers and its periodic task. */
    @Test
    void failingCallIsAnsweredAndCostsNoOther() throws Exception {
        int port = startServer();
        List<Socket> failing = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            failing.add(send(port, "POST /control/out-of-service"));
        }
        assertThat(answer(send(port, "GET /control/ready"))).startsWith("HTTP/1.1 200");
        for (Socket caller : failing) {
            assertThat(answer(caller)).startsWith("HTTP/1.1 500");
        }
    }
}
