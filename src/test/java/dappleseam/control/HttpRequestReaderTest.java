package dappleseam.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpRequestReaderTest {
    /** Longer than reading a head may take by far, and less than a caller waits. */
    private static final Duration TIMEOUT = Duration.ofMillis(900);
    private static final int BLANKS = 3900;

    /** Guards against a head that keeps the control thread for minutes: a pattern went back over its blanks again and again. */
    @ParameterizedTest
    @CsvSource({"'\rx', 400", "'\u0000', 400", "x, 0", "'x \t', 0", "'', 0"})
    void headersWithManyBlanksAreReadAtOnce(String end, int status) {
        for (String blanks : new String[] {" ".repeat(BLANKS), "\t ".repeat(BLANKS / 2), "x ".repeat(BLANKS / 2)}) {
            HttpRequestReader reader = new HttpRequestReader();
            byte[] head = ("GET /control/ready HTTP/1.1\r\nA:" + blanks + end + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
            boolean isDone = Assertions.assertTimeoutPreemptively(TIMEOUT, () -> reader.read(ByteBuffer.wrap(head)));
            assertThat(isDone).isTrue();
            assertThat(reader.errorStatus()).isEqualTo(status);
        }
    }

    @ParameterizedTest
    @CsvSource({"'Content-Length: 3', 0", "'content-length:3 \t', 0", "'Content-Length: x', 400", "'Content-Length : 3', 400", "': 3', 400", "Content-Length, 400",
        "'Transfer-Encoding: chunked', 400", "'X-y!: ', 0"})
    void headersAreJudged(String header, int status) {
        HttpRequestReader reader = new HttpRequestReader();
        reader.read(ByteBuffer.wrap(("POST /control/in-service HTTP/1.1\r\n" + header + "\r\n\r\nabc").getBytes(StandardCharsets.ISO_8859_1)));
        assertThat(reader.errorStatus()).isEqualTo(status);
    }
}
