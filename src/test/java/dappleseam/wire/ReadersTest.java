package dappleseam.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReadersTest {
    private final BufferPool pool = new BufferPool(8);

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The bytes of a peer may arrive one at a time. */
    @Test
    void anArrayIsReadByteByByte() {
        RespReader reader = new RespReader(pool, 100);
        ByteBuffer in = bytes("*3\r\n$3\r\na\r\n\r\n$0\r\n\r\n$-1\r\n");
        ParseStatus progress = ParseStatus.NEED_MORE;
        while (in.hasRemaining()) {
            assertThat(progress).isEqualTo(ParseStatus.NEED_MORE);
            progress = reader.read(ByteBuffer.wrap(new byte[] {in.get()}));
        }
        assertThat(progress).isEqualTo(ParseStatus.DONE);
        RespMessage message = reader.takeMessage();
        assertThat(message.bulk(0).text()).isEqualTo("a\r\n");
        assertThat(message.bulk(1).size()).isZero();
        assertThat(message.bulk(2)).isNull();
    }

    @Test
    void bytesAfterAMessageAreNotConsumed() {
        ByteBuffer in = bytes("-BUSY\r\n+OK\r\n");
        RespReader reader = new RespReader(pool, 100);
        assertThat(reader.read(in)).isEqualTo(ParseStatus.DONE);
        assertThat(reader.takeMessage().line).isEqualTo("BUSY");
        assertThat(in.remaining()).isEqualTo(5);
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET / HTTP/1.1\r\n", "*17\r\n", "*-2\r\n", "$101\r\n", "*1\r\n+OK\r\n", "$1\r\nab\r\n",
        "*1\n", "$99999999999\r\n", "*1\r\n*1\r\n", "$+1\r\n"})
    void malformedRespIsRejected(String text) {
        assertThat(new RespReader(pool, 100).read(bytes(text))).isEqualTo(ParseStatus.MALFORMED);
    }

    /** An endless line must not use up memory. */
    @Test
    void anEndlessLineIsRejected() {
        assertThat(new RespReader(pool, 100).read(bytes("+".repeat(1000)))).isEqualTo(ParseStatus.MALFORMED);
    }

    @Test
    void anIncompleteMessageReleasesItsBuffers() {
        RespReader reader = new RespReader(pool, 1 << 16);
        reader.read(bytes("*3\r\n$1\r\na\r\n$2000\r\n" + "y".repeat(2000) + "\r\n$20000\r\n" + "x".repeat(9000)));
        assertThat(pool.inUse()).isEqualTo(3); // the short string takes none
        reader.release();
        assertThat(pool.inUse()).isZero();
    }

    /** A command of many long strings must not use up the buffers: it is rejected at the length header that exceeds the total. */
    @Test
    void theTotalSizeOfAMessageIsBounded() {
        RespReader reader = new RespReader(pool, 1 << 14);
        String long1 = "$16000\r\n" + "x".repeat(16000) + "\r\n";
        assertThat(reader.read(bytes("*3\r\n" + long1 + "$16000\r\n"))).isEqualTo(ParseStatus.MALFORMED);
    }

    @Test
    void thePoolIsBounded() {
        BufferChain chain = new BufferChain(pool);
        String tooMuch = "x".repeat(9 * BufferPool.SIZE);
        assertThatThrownBy(() -> chain.put(tooMuch)).isInstanceOf(IllegalStateException.class);
        assertThat(pool.isScarce()).isTrue();
        chain.release();
        assertThat(pool.isScarce()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nvalue",
        "HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nva\r\n3;x=y\r\nlue\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-a: 1\r\nContent-Length: 5\r\n\r\nvalue"})
    void aResponseIsReadByteByByte(String text) {
        HttpResponseReader reader = new HttpResponseReader(pool, 100);
        ByteBuffer in = bytes(text);
        ParseStatus progress = ParseStatus.NEED_MORE;
        while (in.hasRemaining()) {
            assertThat(progress).isEqualTo(ParseStatus.NEED_MORE);
            progress = reader.read(ByteBuffer.wrap(new byte[] {in.get()}));
        }
        assertThat(progress).isEqualTo(ParseStatus.DONE);
        assertThat(reader.status()).isEqualTo(200);
        assertThat(reader.header("x-a")).isEqualTo("1");
        assertThat(reader.staysOpen()).isTrue();
        assertThat(reader.takeBody().text()).isEqualTo("value");
    }

    @Test
    void aBodyMayEndWhenTheConnectionCloses() {
        HttpResponseReader reader = new HttpResponseReader(pool, 100);
        assertThat(reader.read(bytes("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nvalue"))).isEqualTo(ParseStatus.NEED_MORE);
        assertThat(reader.isCompleteAtClose()).isTrue();
        assertThat(reader.staysOpen()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"-ERR no\r\n", "HTTP/1.1 abc\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"})
    void malformedHttpIsRejected(String text) {
        assertThat(new HttpResponseReader(pool, 100).read(bytes(text))).isEqualTo(ParseStatus.MALFORMED);
    }
}
