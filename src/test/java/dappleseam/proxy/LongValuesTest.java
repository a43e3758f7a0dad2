package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Large values through the running program, together more than its buffers hold. */
class LongValuesTest {
    private static final int VALUE_BYTES = 4 << 20;
    private static final String TAIL = "\r\n$3\r\nhit\r\n$-1\r\n";

    @TempDir
    Path folder;
    private ServeFixture fixture;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        fixture.memoryMb = 64; // 12.8 MB of buffers
    }

    @AfterEach
    void end() throws Exception {
        fixture.close();
    }

    private static byte[] value(int seed) {
        byte[] value = new byte[VALUE_BYTES];
        new java.util.Random(seed).nextBytes(value);
        return value;
    }

    /** Answers on a separate thread, as the proxy reads no faster than it forwards. */
    private static Thread send(ServeFixture.Received request, String head, byte[] value, int bytes, String tail) {
        Thread sender = new Thread(() -> {
            try {
                synchronized (request.connection()) { // answers on a shared connection must not interleave
                    OutputStream out = request.connection().getOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(value, 0, bytes);
                    if (tail == null) {
                        request.connection().close();
                    } else {
                        out.write(tail.getBytes(StandardCharsets.ISO_8859_1));
                    }
                }
            } catch (IOException e) {
                // the proxy has closed the connection
            }
        });
        sender.setDaemon(true);
        sender.start();
        return sender;
    }

    private ServeFixture.Client reader(String id) throws Exception {
        ServeFixture.Client client = fixture.client();
        client.send("C.GET", "00000000000000aa", id, "c=read,d=20000");
        return client;
    }

    private static String head() {
        return "*3\r\n$" + VALUE_BYTES + "\r\n";
    }

    private static void assertWhole(ServeFixture.Client client, byte[] value) throws IOException {
        assertThat(client.bytes(("$" + VALUE_BYTES + "\r\n").length())).isEqualTo(("$" + VALUE_BYTES + "\r\n").getBytes());
        assertThat(client.bytes(VALUE_BYTES)).isEqualTo(value);
        assertThat(client.bytes(2)).isEqualTo("\r\n".getBytes());
    }

    /** Clients that stop reading must not use up the buffers or delay other clients. */
    @Test
    void stalledReadersOfLongValuesDoNotBlockOthers() throws Exception {
        fixture.start(folder, "");
        byte[] value = value(1);
        List<ServeFixture.Client> stalled = new ArrayList<>();
        for (int i = 0; i < 20; i++) { // 80 MB in all
            stalled.add(reader("stalled" + i));
            send(fixture.cache.next(), head(), value, VALUE_BYTES, TAIL);
        }
        ServeFixture.Client quick = reader("quick");
        send(fixture.cache.next(), head(), value, VALUE_BYTES, TAIL);
        assertWhole(quick, value);
        quick.send("C.GET", "00000000000000ab", "short", "c=read,d=9000");
        fixture.cache.next().answer("*3\r\n$5\r\nvalue" + TAIL);
        assertThat(quick.answer()).isEqualTo("value");
        for (ServeFixture.Client client : stalled) { // each receives its whole value once it reads
            assertWhole(client, value);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n"})
    void longValueComesFromTheOriginToo(String header) throws Exception {
        fixture.start(folder, "");
        byte[] value = value(2);
        ServeFixture.Client client = reader("id1");
        fixture.cache.next().answer("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
        send(fixture.origin.next(), "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + VALUE_BYTES + "\r\n\r\n", value, VALUE_BYTES, "");
        assertWhole(client, value);
    }

    /** Rule 1: once part of a value has been forwarded there is no retry, and the client can tell that the value is incomplete. */
    @Test
    void truncatedValueIsNeverCompleted() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = reader("id1");
        send(fixture.cache.next(), head(), value(3), VALUE_BYTES / 2, null);
        assertThat(client.bytes(3)).isEqualTo("$41".getBytes());
        assertThat(client.rest().length).isLessThan(VALUE_BYTES);
        assertThat(fixture.cache.received).noneMatch(t -> t.elements().get(0).equals("C.GET"));
        assertThat(fixture.origin.received).isEmpty();
    }

    /** Rule 1: a value that was forwarded and turns out to have a malformed end must not be completed. */
    @Test
    void longValueWithAMalformedEndIsNotCompleted() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = reader("id1");
        send(fixture.cache.next(), head(), value(4), VALUE_BYTES, "noise");
        assertThat(client.rest().length).isLessThanOrEqualTo(("$" + VALUE_BYTES + "\r\n").length() + VALUE_BYTES);
    }

    /** More large writes than the buffers hold: each waits for room, and none is lost. */
    @Test
    void longWritesInPiecesReachTheOriginWhole() throws Exception {
        fixture.start(folder, "");
        int writers = 6;
        List<ServeFixture.Client> clients = new ArrayList<>();
        for (int i = 0; i < writers; i++) {
            ServeFixture.Client client = fixture.client();
            clients.add(client);
            byte[] value = value(i);
            String id = "w" + i;
            Thread writer = new Thread(() -> {
                try {
                    client.raw("*5\r\n$5\r\nC.SET\r\n$2\r\naa\r\n$2\r\n" + id + "\r\n$13\r\nc=put,d=20000\r\n$" + VALUE_BYTES + "\r\n");
                    for (int at = 0; at < VALUE_BYTES; at += VALUE_BYTES / 64) {
                        client.socket.getOutputStream().write(value, at, VALUE_BYTES / 64);
                        Thread.sleep(5);
                    }
                    client.raw("\r\n");
                } catch (IOException | InterruptedException e) {
                    // the check of the answer reports it
                }
            });
            writer.setDaemon(true);
            writer.start();
        }
        for (int i = 0; i < writers; i++) {
            ServeFixture.Received incoming = fixture.origin.next();
            int index = Integer.parseInt(incoming.elements().stream().filter(w -> w.startsWith("X-Correlation-Id: w"))
                    .findFirst().orElseThrow().substring(19));
            assertThat(incoming.elements()).contains("Content-Length: " + VALUE_BYTES);
            assertThat(incoming.elements().get(incoming.elements().size() - 1).getBytes(StandardCharsets.ISO_8859_1))
                    .isEqualTo(value(index));
            incoming.answer(ServeFixture.ok("receipt"));
            assertThat(clients.get(index).answer()).isEqualTo("receipt");
        }
    }

    /** Rule 2: a large write whose connection breaks before its last byte never ran, and is rejected. */
    @Test
    void truncatedLongWriteIsRejected() throws Exception {
        fixture.start(folder, "");
        fixture.origin.readsBodies = false;
        ServeFixture.Client client = fixture.client();
        client.send("C.SET", "00000000000000aa", "id1", "c=put,d=9000", "X".repeat(VALUE_BYTES));
        for (ServeFixture.Received incoming = fixture.origin.next(); incoming != null; incoming = fixture.origin.received.poll(500,
                java.util.concurrent.TimeUnit.MILLISECONDS)) {
            incoming.connection().close();
        }
        assertThat(client.answer()).startsWith("-BUSY");
    }
}
