package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A client gets whole what was answered before its connection ends, whatever ends it, also if it sends on meanwhile; on real processes. */
class ConnectionEndTest {
    /** More than the client's socket takes, and less than the system takes for the program. */
    private static final int VALUE_BYTES = 1_500_000;
    private static final int CLIENT_BUFFER_BYTES = 32 << 10;
    /** Time in ms after a call to out-of-service from which a connection is not read any more, at the latest. */
    private static final int STOPPED_READING_MS = 2000;
    private static final int WRITE_INTERVAL_MS = 100;
    private static final String HEAD = "$" + VALUE_BYTES + "\r\n";
    private static final String NEXT = "*4\r\n$5\r\nC.GET\r\n$2\r\na9\r\n$4\r\nnext\r\n$13\r\nc=read,d=9000\r\n";

    @TempDir
    Path folder;
    private ServeFixture fixture;
    private Process successor;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        fixture.controlPort = ServeFixture.freePort();
    }

    @AfterEach
    void end() throws Exception {
        if (successor != null) {
            successor.destroyForcibly().waitFor();
        }
        fixture.close();
    }

    private interface Action {
        void run(ConnectionEndTest test, ServeFixture.Client client) throws Exception;
    }

    /** What ends a connection that the program takes for idle, as the system has taken the whole value. */
    private enum End {
        OUT_OF_SERVICE("drained", (test, client) -> test.fixture.request("POST /control/out-of-service")),
        IDLE("silence", (test, client) -> { }),
        QUIT("quit", (test, client) -> client.raw("*1\r\n$4\r\nQUIT\r\n")),
        MALFORMED("malformed", (test, client) -> client.raw("noise\r\n")),
        HALF_A_COMMAND("silence", (test, client) -> client.raw(NEXT.substring(0, 20))),
        SIGTERM("drained", (test, client) -> test.fixture.signal("TERM")),
        HAND_OVER("drained", (test, client) -> test.handOver());

        /** Under which it is counted. */
        private final String reason;
        private final Action action;

        End(String reason, Action action) {
            this.reason = reason;
            this.action = action;
        }
    }

    private void handOver() throws Exception {
        int firstControl = fixture.controlPort;
        fixture.controlPort = ServeFixture.freePort();
        successor = fixture.launch(folder, fixture.config(folder, ""));
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/ready", " 200 ");
        fixture.controlPort = firstControl;
        fixture.signal("TERM");
    }

    /** A client that reads slowly. */
    private ServeFixture.Client slowReader() throws Exception {
        fixture.client().socket.close(); // it accepts
        Socket socket = new Socket();
        socket.setReceiveBufferSize(CLIENT_BUFFER_BYTES);
        socket.connect(new InetSocketAddress("127.0.0.1", fixture.port));
        ServeFixture.Client client = new ServeFixture.Client(socket);
        client.raw(NEXT.replace("next", "long"));
        return client;
    }

    private static String part(int bytes) {
        return "v".repeat(bytes);
    }

    private static void assertRestOfValue(ServeFixture.Client client) throws IOException {
        assertThat(client.bytes(VALUE_BYTES + 2)).hasSize(VALUE_BYTES + 2).endsWith("v\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private void awaitClosedByProgram(String reason) throws Exception {
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_client_closes_total{reason=\"" + reason + "\"} 1");
    }

    /** Guards against a reset by input that comes after the close, which throws away what the system has not sent yet. */
    @ParameterizedTest
    @EnumSource(End.class)
    void aLongValueReachesASlowClientWholeWhateverEndsItsConnection(End end) throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = slowReader();
        fixture.cache.next().answer(ServeFixture.hit(part(VALUE_BYTES)));
        assertThat(new String(client.bytes(HEAD.length()), StandardCharsets.ISO_8859_1)).isEqualTo(HEAD);
        Thread.sleep(300); // the program passes on the rest, of which the client takes little
        end.action.run(this, client);
        awaitClosedByProgram(end.reason);
        client.raw(NEXT.repeat(3));
        assertRestOfValue(client);
        if (end != End.MALFORMED && end != End.QUIT && end != End.HALF_A_COMMAND) { // those are answered
            assertThat(client.isAtEnd()).isTrue();
        }
    }

    /** Guards against the same where the client has sent its next command in the middle of a value, which is answered if the value comes whole. */
    @Test
    void aCommandSentDuringALongValueIsAnsweredBehindItWhenOutOfService() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = slowReader();
        ServeFixture.Received value = fixture.cache.next();
        value.answer("*3\r\n" + HEAD + part(VALUE_BYTES / 2));
        assertThat(new String(client.bytes(HEAD.length()), StandardCharsets.ISO_8859_1)).isEqualTo(HEAD);
        client.raw(NEXT);
        fixture.request("POST /control/out-of-service");
        Thread.sleep(STOPPED_READING_MS);
        value.answer(part(VALUE_BYTES - VALUE_BYTES / 2) + "\r\n$3\r\nhit\r\n$-1\r\n");
        ServeFixture.Received next = fixture.cache.next();
        next.answer(ServeFixture.hit("value"));
        assertRestOfValue(client);
        assertThat(client.answer()).isEqualTo("value");
        assertThat(client.isAtEnd()).isTrue();
    }

    /** Guards against a command that is taken after the end of the output: its client could not be answered any more, and must send it elsewhere. */
    @Test
    void aCommandThatCrossesTheEndIsNotForwarded() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = slowReader();
        fixture.cache.next().answer(ServeFixture.hit(part(VALUE_BYTES)));
        fixture.request("POST /control/out-of-service");
        awaitClosedByProgram("drained");
        client.raw(NEXT);
        assertThat(new String(client.bytes(HEAD.length()), StandardCharsets.ISO_8859_1)).isEqualTo(HEAD);
        assertRestOfValue(client);
        assertThat(client.isAtEnd()).isTrue();
        ServeFixture.Client other = fixture.client();
        other.raw(NEXT.replace("next", "last"));
        ServeFixture.Received last = fixture.cache.next();
        assertThat(last.elements()).contains("last");
        last.answer(ServeFixture.hit("value"));
        assertThat(other.answer()).isEqualTo("value");
        assertThat(fixture.cache.received).noneMatch(one -> one.elements().contains("next"));
    }

    /** Guards against commands that wait behind a value which is held back for them, and get no answer before the process ends. */
    @Test
    void commandsBehindAValueThatIsHeldBackAreAnsweredBeforeTheProcessEnds() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        client.raw(NEXT.replace("next", "long") + NEXT);
        ServeFixture.Received first = fixture.cache.next();
        ServeFixture.Received second = fixture.cache.next();
        boolean isInOrder = first.elements().contains("long");
        (isInOrder ? second : first).answer(ServeFixture.hit("value"));
        ServeFixture.Received held = isInOrder ? first : second;
        held.answer("*3\r\n" + HEAD + part(1000));
        fixture.signal("TERM");
        Thread server = new Thread(() -> {
            try {
                while (true) { // the server goes on writing until the connection ends
                    Thread.sleep(WRITE_INTERVAL_MS);
                    held.answer(part(1000));
                }
            } catch (IOException | InterruptedException e) {
                return;
            }
        });
        server.setDaemon(true);
        server.start();
        assertThat(client.answer()).startsWith("-");
        assertThat(client.answer()).isEqualTo("value");
        assertThat(client.isAtEnd()).isTrue();
    }
}
