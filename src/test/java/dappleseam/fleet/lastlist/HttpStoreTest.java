package dappleseam.fleet.lastlist;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.fleet.lease.Token;
import dappleseam.lab.emulator.StoreEmulator;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Storing the fleet's last known list behind HTTP. */
class HttpStoreTest {
    private static HttpStore storeAt(int port) {
        return new HttpStore(URI.create("http://127.0.0.1:" + port + "/last-list"));
    }

    @Test
    void aWrittenListIsReadBackAndOlderWritesAreRefused() throws Exception {
        try (StoreEmulator emulator = new StoreEmulator(0, true)) {
            emulator.open();
            HttpStore store = storeAt(emulator.port());
            assertThatThrownBy(store::read).isInstanceOf(IOException.class).hasMessageContaining("404");
            store.write(new Token(5, -7), 1, 1000, TestLists.list(3));
            store.write(new Token(5, -7), 2, 2000, TestLists.list(4));
            assertThatThrownBy(() -> store.write(new Token(5, -7), 1, 1000, TestLists.list(3))).isInstanceOf(ListStore.FencedException.class);
            store.write(new Token(6, 1), 1, 3000, TestLists.list(5));
            assertThatThrownBy(() -> store.write(new Token(5, -7), 3, 4000, TestLists.list(9))).isInstanceOfSatisfying(ListStore.FencedException.class,
                    e -> assertThat(e.latestToken()).isEqualTo(new Token(6, 1)));
            assertThat(store.read().token()).isEqualTo(new Token(6, 1));
            assertThat(store.read().list().path("rev").asLong()).isEqualTo(5);
            assertThat(store.read().list().path("targets").path(0).path("state").asText()).isEqualTo("draining");
        }
    }

    @Test
    void aClosedPortFailsImmediately() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        assertThatThrownBy(() -> storeAt(port).read()).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> storeAt(port).write(new Token(1, 1), 1, 0, TestLists.list(1))).isInstanceOf(IOException.class);
    }

    /** The start of a proxy may wait for a read, so an endless, missing or malformed answer has to fail within seconds. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"HTTP/1.1 200 OK~~Content-Length: 99999999~~~~ | true", "HTTP/1.1 200 OK~~Content-Length: 5~~~~[1,2] | false", "HTTP/1.1 409 Conflict~~Content-Length: 0~~~~ | false",
        "garbage~~~~ | false", "'' | false"})
    void aMalformedOrEndlessAnswerFailsQuickly(String response, boolean endless) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            Thread peer = new Thread(() -> {
                try (Socket socket = server.accept()) {
                    socket.getOutputStream().write(response.replace("~~", "\r\n").getBytes(StandardCharsets.US_ASCII));
                    while (endless) {
                        socket.getOutputStream().write(' ');
                        Thread.sleep(50);
                    }
                    socket.getInputStream().readAllBytes();
                } catch (IOException | InterruptedException e) {
                    return;
                }
            });
            peer.setDaemon(true);
            peer.start();
            long startNanos = System.nanoTime();
            assertThatThrownBy(() -> storeAt(server.getLocalPort()).read()).isInstanceOf(IOException.class);
            assertThat((System.nanoTime() - startNanos) / 1e9).isLessThan(5);
        }
    }
}
