package dappleseam.lab.fault;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.scenario.Scenario.ConnectionFault;
import dappleseam.lab.scenario.Scenario.FaultEffect;
import dappleseam.lab.scenario.Scenario.Direction;
import dappleseam.lab.scenario.Scenario.FaultLocation;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConnectionFaultInjectorTest {
    private static final int SENT = 50_000;

    private ServerSocket echo;

    /** Starts a server that echoes all input of a connection and then closes it. */
    @BeforeEach
    void listen() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = echo.accept();
                    Thread one = new Thread(() -> {
                        try (socket) {
                            socket.getInputStream().transferTo(socket.getOutputStream());
                        } catch (IOException e) {
                            // cut by the fault, as expected
                        }
                    });
                    one.setDaemon(true);
                    one.start();
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void closeEcho() throws IOException {
        echo.close();
    }

    private static ConnectionFault fault(Direction way, FaultEffect how, double size) {
        return new ConnectionFault(FaultLocation.CACHES, way, how, 1, SENT, size);
    }

    /** Sends one message through those faults to the echo server; returns what comes back. */
    private byte[] sendThrough(long seed, ConnectionFault... script) throws Exception {
        try (ConnectionFaultInjector injector = new ConnectionFaultInjector(echo.getLocalPort(), List.of(script), seed);
                Socket client = new Socket("127.0.0.1", injector.port())) {
            client.setSoTimeout(10_000);
            byte[] message = new byte[SENT];
            Thread sender = new Thread(() -> {
                try {
                    client.getOutputStream().write(message);
                    client.shutdownOutput();
                } catch (IOException e) {
                    // cut by the fault, as expected
                }
            });
            sender.start();
            byte[] back;
            try {
                back = client.getInputStream().readAllBytes();
            } finally {
                sender.join();
            }
            for (int i = 0; i < 200 && injector.openSockets() > 0; i++) {
                Thread.sleep(10);
            }
            assertThat(injector.openSockets()).isZero(); // no connection is left open
            return back;
        }
    }

    private static long plannedOffset(long seed, ConnectionFault... script) {
        return ConnectionFaultInjector.plan(List.of(script), seed, 0).get(0).offset();
    }

    @Test
    void theSameSeedPlansTheSameFaults() {
        List<ConnectionFault> script = List.of(new ConnectionFault(FaultLocation.CACHES, Direction.BACK, FaultEffect.CUT, 0.5, 1000, 0),
                new ConnectionFault(FaultLocation.CACHES, Direction.THERE, FaultEffect.GARBLE, 0.5, 1000, 0));
        for (int connection = 0; connection < 50; connection++) {
            assertThat(ConnectionFaultInjector.plan(script, 7, connection)).isEqualTo(ConnectionFaultInjector.plan(script, 7, connection));
        }
        assertThat(ConnectionFaultInjector.plan(script, 7, 3)).isNotEqualTo(ConnectionFaultInjector.plan(script, 8, 3));
    }

    @Test
    void splitsAndDelaysChangeNoByte() throws Exception {
        assertThat(sendThrough(3, fault(Direction.BACK, FaultEffect.SPLIT, 500), fault(Direction.THERE, FaultEffect.DELAY, 20))).isEqualTo(new byte[SENT]);
    }

    @Test
    void oneByteIsGarbledAtThePlannedOffset() throws Exception {
        ConnectionFault garble = fault(Direction.THERE, FaultEffect.GARBLE, 0);
        byte[] expected = new byte[SENT];
        expected[(int) plannedOffset(5, garble)] ^= 0x55;
        assertThat(sendThrough(5, garble)).isEqualTo(expected);
        assertThat(sendThrough(5, garble)).isEqualTo(expected);
    }

    @Test
    void cutsAndHalfClosesHappenAtThePlannedOffset() throws Exception {
        for (FaultEffect how : List.of(FaultEffect.CUT, FaultEffect.HALF_CLOSE)) {
            ConnectionFault cut = fault(Direction.BACK, how, 0);
            byte[] back;
            try {
                back = sendThrough(11, cut);
            } catch (SocketException e) { // the connection was closed while our bytes were unread, which resets it
                continue;
            }
            assertThat(back).hasSize((int) plannedOffset(11, cut)).isEqualTo(Arrays.copyOf(new byte[SENT], back.length));
        }
    }
}
