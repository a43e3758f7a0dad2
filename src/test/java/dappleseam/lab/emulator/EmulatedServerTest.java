package dappleseam.lab.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.peer.TimedInput;
import dappleseam.lab.scenario.Scenario;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EmulatedServerTest {
    /** Otherwise a proxy is blamed for commands that it sent in time to a cache that read them only after its silence. */
    @Test
    void commandsToASilentCacheAreRecordedAtTheirArrival() throws Exception {
        Ledger ledger = new Ledger();
        try (CacheEmulator cache = new CacheEmulator("c", new Scenario.Caches(1, 0, 4, 4, 9, 9, 1, 0, 0, 9), ledger, (query, at) -> { }, 1)) {
            cache.startAccepting();
            cache.setSilent(true);
            try (Socket socket = new Socket("127.0.0.1", cache.port())) {
                send(socket, "q1");
                while (ledger.executions.isEmpty()) {
                    Thread.sleep(5);
                }
                send(socket, "q2");
                Thread.sleep(300);
                double before = ledger.nowMs() - 150;
                cache.setSilent(false);
                while (ledger.executions.size() < 2) {
                    Thread.sleep(5);
                }
                assertThat(ledger.executions).allMatch(e -> e.atMs() < before);
                send(socket, "q3");
                while (ledger.executions.size() < 3) {
                    Thread.sleep(5);
                }
                assertThat(ledger.executions).anyMatch(e -> e.query().equals("q3") && e.atMs() > before + 100);
            }
        }
    }

    private static void send(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(("*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\n" + id + "\r\n$1\r\nf\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** The thread in accept keeps a closed listener's port for a moment, so that a restarted server found its address in use. */
    @Test
    void aServerListensAgainAtItsAddressRightAfterACrash() throws Exception {
        try (EmulatedServer server = new EmulatedServer() {
            @Override
            void serve(TimedInput in, OutputStream out) throws IOException {
                out.write('x');
            }
        }) {
            server.startAccepting();
            for (int i = 0; i < 200; i++) {
                server.crash();
                server.listenAgain();
                try (Socket socket = new Socket("127.0.0.1", server.port())) {
                    assertThat(socket.getInputStream().read()).isEqualTo('x');
                }
            }
        }
    }
}
