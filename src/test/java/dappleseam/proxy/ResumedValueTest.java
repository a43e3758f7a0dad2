package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A large value that breaks off after a part of it was passed on, with commands behind it: it goes on from another node, or ends the connection. */
class ResumedValueTest {
    /** More than is held back with the buffers of this test. */
    private static final int VALUE_BYTES = 3_000_000;
    private static final int PART_BYTES = 1_000_000;
    private static final String HEAD = "$" + VALUE_BYTES + "\r\n";
    private static final long SHORT_TIME_MS = 1500;
    private static final double NANOS_PER_MS = 1e6;

    @TempDir
    Path folder;
    private ServeFixture fixture;
    private final byte[] value = new byte[VALUE_BYTES];
    private ServeFixture.Client client;

    @BeforeEach
    void prepare() throws Exception {
        new Random(1).nextBytes(value);
        fixture = new ServeFixture();
        fixture.memoryMb = 64; // 12.8 MB of buffers
        fixture.start(folder, "");
        client = fixture.client();
    }

    @AfterEach
    void end() throws Exception {
        fixture.close();
    }

    private static String command(String id, long timeMs) {
        String facts = "c=read,d=" + timeMs;
        return "*4\r\n$5\r\nC.GET\r\n$16\r\n00000000000000a1\r\n$" + id.length() + "\r\n" + id + "\r\n$" + facts.length() + "\r\n" + facts + "\r\n";
    }

    /** Sends a long read with a short one behind it; the cache answers the short one, and gives the first part of the value. */
    private ServeFixture.Received beginLongValue(long timeMs) throws Exception {
        client.raw(command("long", timeMs) + command("behind", timeMs));
        ServeFixture.Received broken = fixture.cache.command("long");
        fixture.cache.command("behind").answer(ServeFixture.hit("second"));
        OutputStream out = broken.connection().getOutputStream();
        out.write(("*3\r\n" + HEAD).getBytes(StandardCharsets.ISO_8859_1));
        out.write(value, 0, PART_BYTES);
        assertThat(new String(client.bytes(HEAD.length()), StandardCharsets.ISO_8859_1)).isEqualTo(HEAD);
        return broken;
    }

    /** How the cache fails in the middle of the value. */
    private enum Break {
        CLOSE, RESET;

        void of(Socket connection) throws IOException {
            if (this == RESET) {
                connection.setSoLinger(true, 0);
            }
            connection.close();
        }
    }

    private void answerAtOrigin(byte[] answer) throws Exception {
        ServeFixture.Received resumed = fixture.origin.next();
        assertThat(resumed.elements()).contains("X-Correlation-Id: long");
        OutputStream out = resumed.connection().getOutputStream();
        try {
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(answer);
        } catch (IOException e) {
            // the program needs no more of it
        }
    }

    /** Guards against commands that were answered by their servers and go down with a value before them, for which no room was left to hold it back. */
    @ParameterizedTest
    @EnumSource(Break.class)
    void aValueThatBreaksOffGoesOnFromTheOrigin(Break how) throws Exception {
        how.of(beginLongValue(20_000).connection());
        answerAtOrigin(value);
        assertThat(client.bytes(VALUE_BYTES)).isEqualTo(value);
        assertThat(client.bytes(2)).isEqualTo("\r\n".getBytes());
        assertThat(client.answer()).isEqualTo("second");
    }

    /** Guards against two values in one answer: another value of the same length, different in what was passed on, or of another length, or none. */
    @ParameterizedTest
    @EnumSource(Other.class)
    void anotherValueIsNeverPutBehindTheFirstPart(Other other) throws Exception {
        Break.CLOSE.of(beginLongValue(20_000).connection());
        answerAtOrigin(other.of(value));
        byte[] got = client.rest();
        assertThat(got.length).isLessThanOrEqualTo(PART_BYTES);
        assertThat(got).isEqualTo(Arrays.copyOf(value, got.length));
    }

    private enum Other {
        CHANGED, LONGER, SHORT;

        byte[] of(byte[] value) {
            byte[] other = Arrays.copyOf(value, this == LONGER ? VALUE_BYTES + 1 : this == SHORT ? 100 : VALUE_BYTES);
            other[0] ^= (byte) (this == CHANGED ? 1 : 0);
            return other;
        }
    }

    /** Guards against a client that is kept waiting past its time for the rest of a value. */
    @Test
    void theConnectionEndsInTimeIfNoNodeGivesTheRest() throws Exception {
        long startedAt = System.nanoTime();
        Break.CLOSE.of(beginLongValue(SHORT_TIME_MS).connection());
        ServeFixture.Received resumed = fixture.origin.next();
        assertThat(client.rest().length).isLessThanOrEqualTo(PART_BYTES);
        assertThat((System.nanoTime() - startedAt) / NANOS_PER_MS).isLessThan(SHORT_TIME_MS + 500);
        assertThat(resumed.connection().getInputStream().read()).isEqualTo(-1); // the origin is not asked any longer
    }
}
