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
    private static final int LONG = 4 << 20;
    private static final String TAIL = "\r\n$3\r\nhit\r\n$-1\r\n";

    @TempDir
    Path folder;
    private Sockets sockets;

    @BeforeEach
    void prepare() throws Exception {
        sockets = new Sockets();
        sockets.memoryMb = 64; // 12.8 MB of buffers
    }

    @AfterEach
    void end() throws Exception {
        sockets.close();
    }

    private static byte[] value(int seed) {
        byte[] value = new byte[LONG];
        new java.util.Random(seed).nextBytes(value);
        return value;
    }

    /** Answers on a separate thread, as the proxy reads no faster than it forwards. */
    private static Thread send(Sockets.Told asked, String head, byte[] value, int bytes, String tail) {
        Thread sender = new Thread(() -> {
            try {
                synchronized (asked.from()) { // answers on a shared connection must not interleave
                    OutputStream out = asked.from().getOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(value, 0, bytes);
                    if (tail == null) {
                        asked.from().close();
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

    private Sockets.Client reader(String id) throws Exception {
        Sockets.Client client = sockets.client();
        client.send("C.GET", "00000000000000aa", id, "c=read,d=20000");
        return client;
    }

    private static String head() {
        return "*3\r\n$" + LONG + "\r\n";
    }

    private static void assertWhole(Sockets.Client client, byte[] value) throws IOException {
        assertThat(client.bytes(("$" + LONG + "\r\n").length())).isEqualTo(("$" + LONG + "\r\n").getBytes());
        assertThat(client.bytes(LONG)).isEqualTo(value);
        assertThat(client.bytes(2)).isEqualTo("\r\n".getBytes());
    }

    /** Clients that stop reading must not use up the buffers or delay other clients. */
    @Test
    void stalledReadersOfLongValuesHoldUpNobody() throws Exception {
        sockets.start(folder, "");
        byte[] value = value(1);
        List<Sockets.Client> stalled = new ArrayList<>();
        for (int i = 0; i < 20; i++) { // 80 MB in all
            stalled.add(reader("stalled" + i));
            send(sockets.cache.next(), head(), value, LONG, TAIL);
        }
        Sockets.Client quick = reader("quick");
        send(sockets.cache.next(), head(), value, LONG, TAIL);
        assertWhole(quick, value);
        quick.send("C.GET", "00000000000000ab", "short", "c=read,d=9000");
        sockets.cache.next().answer("*3\r\n$5\r\nvalue" + TAIL);
        assertThat(quick.answer()).isEqualTo("value");
        for (Sockets.Client client : stalled) { // each receives its whole value once it reads
            assertWhole(client, value);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n"})
    void aLongValueComesFromTheOriginToo(String header) throws Exception {
        sockets.start(folder, "");
        byte[] value = value(2);
        Sockets.Client client = reader("id1");
        sockets.cache.next().answer("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
        send(sockets.origin.next(), "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + LONG + "\r\n\r\n", value, LONG, "");
        assertWhole(client, value);
    }

    /** Rule 1: once part of a value has been forwarded there is no retry, and the client can tell that the value is incomplete. */
    @Test
    void aValueCutOffHalfWayIsNeverMadeToLookWhole() throws Exception {
        sockets.start(folder, "");
        Sockets.Client client = reader("id1");
        send(sockets.cache.next(), head(), value(3), LONG / 2, null);
        assertThat(client.bytes(3)).isEqualTo("$41".getBytes());
        assertThat(client.rest().length).isLessThan(LONG);
        assertThat(sockets.cache.told).noneMatch(t -> t.words().get(0).equals("C.GET"));
        assertThat(sockets.origin.told).isEmpty();
    }

    /** Rule 1: a value that was forwarded and turns out to have a malformed end must not be completed. */
    @Test
    void aLongValueThatEndsWronglyIsNotFinished() throws Exception {
        sockets.start(folder, "");
        Sockets.Client client = reader("id1");
        send(sockets.cache.next(), head(), value(4), LONG, "noise");
        assertThat(client.rest().length).isLessThanOrEqualTo(("$" + LONG + "\r\n").length() + LONG);
    }

    /** More large writes than the buffers hold: each waits for room, and none is lost. */
    @Test
    void longWritesInPiecesGoToTheOriginWhole() throws Exception {
        sockets.start(folder, "");
        int writers = 6;
        List<Sockets.Client> clients = new ArrayList<>();
        for (int i = 0; i < writers; i++) {
            Sockets.Client client = sockets.client();
            clients.add(client);
            byte[] value = value(i);
            String id = "w" + i;
            Thread writer = new Thread(() -> {
                try {
                    client.raw("*5\r\n$5\r\nC.SET\r\n$2\r\naa\r\n$2\r\n" + id + "\r\n$13\r\nc=put,d=20000\r\n$" + LONG + "\r\n");
                    for (int at = 0; at < LONG; at += LONG / 64) {
                        client.socket.getOutputStream().write(value, at, LONG / 64);
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
            Sockets.Told asked = sockets.origin.next();
            int which = Integer.parseInt(asked.words().stream().filter(w -> w.startsWith("X-Correlation-Id: w"))
                    .findFirst().orElseThrow().substring(19));
            assertThat(asked.words()).contains("Content-Length: " + LONG);
            assertThat(asked.words().get(asked.words().size() - 1).getBytes(StandardCharsets.ISO_8859_1))
                    .isEqualTo(value(which));
            asked.answer(Sockets.ok("receipt"));
            assertThat(clients.get(which).answer()).isEqualTo("receipt");
        }
    }

    /** Rule 2: a large write whose connection breaks before its last byte never ran, and is rejected. */
    @Test
    void aLongWriteCutOffOnItsWayNeverRan() throws Exception {
        sockets.start(folder, "");
        sockets.origin.bodies = false;
        Sockets.Client client = sockets.client();
        client.send("C.SET", "00000000000000aa", "id1", "c=put,d=9000", "X".repeat(LONG));
        for (Sockets.Told asked = sockets.origin.next(); asked != null; asked = sockets.origin.told.poll(500,
                java.util.concurrent.TimeUnit.MILLISECONDS)) {
            asked.from().close();
        }
        assertThat(client.answer()).startsWith("-BUSY");
    }
}
