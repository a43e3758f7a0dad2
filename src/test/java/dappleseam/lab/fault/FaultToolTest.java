package dappleseam.lab.fault;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.scenario.Scenario.Fault;
import dappleseam.lab.scenario.Scenario.How;
import dappleseam.lab.scenario.Scenario.Way;
import dappleseam.lab.scenario.Scenario.Where;
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

class FaultToolTest {
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
    void end() throws IOException {
        echo.close();
    }

    private static Fault fault(Way way, How how, double size) {
        return new Fault(Where.CACHES, way, how, 1, SENT, size);
    }

    /** Sends one message through those faults to the echo server; returns what comes back. */
    private byte[] through(long seed, Fault... script) throws Exception {
        try (FaultTool tool = new FaultTool(echo.getLocalPort(), List.of(script), seed);
                Socket client = new Socket("127.0.0.1", tool.port())) {
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
            for (int i = 0; i < 200 && tool.open() > 0; i++) {
                Thread.sleep(10);
            }
            assertThat(tool.open()).isZero(); // no connection is left open
            return back;
        }
    }

    private static long at(long seed, Fault... script) {
        return FaultTool.plan(List.of(script), seed, 0).get(0).at();
    }

    @Test
    void theSameSeedPlansTheSameFaults() {
        List<Fault> script = List.of(new Fault(Where.CACHES, Way.BACK, How.CUT, 0.5, 1000, 0),
                new Fault(Where.CACHES, Way.THERE, How.GARBLE, 0.5, 1000, 0));
        for (int connection = 0; connection < 50; connection++) {
            assertThat(FaultTool.plan(script, 7, connection)).isEqualTo(FaultTool.plan(script, 7, connection));
        }
        assertThat(FaultTool.plan(script, 7, 3)).isNotEqualTo(FaultTool.plan(script, 8, 3));
    }

    @Test
    void piecesAndDelaysChangeNoByte() throws Exception {
        assertThat(through(3, fault(Way.BACK, How.SPLIT, 500), fault(Way.THERE, How.DELAY, 20))).isEqualTo(new byte[SENT]);
    }

    @Test
    void oneByteIsGarbledWhereItWasPlanned() throws Exception {
        Fault garble = fault(Way.THERE, How.GARBLE, 0);
        byte[] expected = new byte[SENT];
        expected[(int) at(5, garble)] ^= 0x55;
        assertThat(through(5, garble)).isEqualTo(expected);
        assertThat(through(5, garble)).isEqualTo(expected);
    }

    @Test
    void aCutAndAHalfCloseComeAtTheirByte() throws Exception {
        for (How how : List.of(How.CUT, How.HALF_CLOSE)) {
            Fault cut = fault(Way.BACK, how, 0);
            byte[] back;
            try {
                back = through(11, cut);
            } catch (SocketException e) { // the connection was closed while our bytes were unread, which resets it
                continue;
            }
            assertThat(back).hasSize((int) at(11, cut)).isEqualTo(Arrays.copyOf(new byte[SENT], back.length));
        }
    }
}
