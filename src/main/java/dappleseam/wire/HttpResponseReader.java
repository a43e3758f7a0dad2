package dappleseam.wire;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Incremental parser of HTTP/1.1 responses, with bounds on head and body. */
public final class HttpResponseReader {
    private static final int MAX_HEAD_BYTES = 8 << 10;

    /** What is parsed next. */
    private enum State { STATUS, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNTIL_CLOSE }

    private final BufferPool pool;
    private final long maxBodyBytes;
    /** Receives the body of a large 200 response that has a Content-Length; null if all bodies are buffered. */
    private final LargeValueHandler largeValues;
    private boolean streamsBody;
    private final StringBuilder line = new StringBuilder();
    private final Map<String, String> headers = new HashMap<>();
    private State state = State.STATUS;
    private int headBytes;
    private int status;
    private BufferChain body;
    private long bytesLeft;

    public HttpResponseReader(BufferPool pool, long maxBodyBytes) {
        this(pool, maxBodyBytes, null);
    }

    public HttpResponseReader(BufferPool pool, long maxBodyBytes, LargeValueHandler largeValues) {
        this.pool = pool;
        this.maxBodyBytes = maxBodyBytes;
        this.largeValues = largeValues;
        body = new BufferChain(pool);
    }

    public int status() {
        return status;
    }

    /** The value of a header, by its lower-case name; empty if it is missing. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** Whether the connection can be reused after this response. */
    public boolean staysOpen() {
        return state != State.UNTIL_CLOSE && !header("connection").equalsIgnoreCase("close");
    }

    /** The body of the completed response, which the caller has to release. Also resets the parser for the next response. */
    public BufferChain takeBody() {
        BufferChain done = body;
        body = new BufferChain(pool);
        headers.clear();
        headBytes = 0;
        streamsBody = false;
        state = State.STATUS;
        return done;
    }

    /** Bytes buffered of the body. */
    public long bodyBytes() {
        return body.size();
    }

    /** Parses bytes of {@code in} until the response is complete or malformed, or no bytes are left. */
    public ParseStatus read(ByteBuffer in) {
        while (in.hasRemaining()) {
            ParseStatus parsed = switch (state) {
                case BODY, CHUNK, UNTIL_CLOSE -> readBody(in);
                default -> readLine(in);
            };
            if (parsed != ParseStatus.NEED_MORE) {
                return parsed;
            }
        }
        return ParseStatus.NEED_MORE;
    }

    /** Whether a close of the connection at this point is the regular end of the body. */
    public boolean isCompleteAtClose() {
        return state == State.UNTIL_CLOSE;
    }

    private ParseStatus readBody(ByteBuffer in) {
        int count = (int) Math.min(bytesLeft, in.remaining());
        if (streamsBody) {
            largeValues.valueBytes(in, count);
        } else {
            body.put(in, count);
        }
        bytesLeft -= count;
        if (bytesLeft > 0) {
            return ParseStatus.NEED_MORE;
        }
        if (state == State.CHUNK) {
            state = State.CHUNK_END;
            return ParseStatus.NEED_MORE;
        }
        return state == State.BODY ? ParseStatus.DONE : ParseStatus.MALFORMED;
    }

    private ParseStatus readLine(ByteBuffer in) {
        char c = (char) (in.get() & 0xFF);
        if (++headBytes > MAX_HEAD_BYTES) {
            return ParseStatus.MALFORMED;
        }
        if (c != '\n') {
            line.append(c);
            return ParseStatus.NEED_MORE;
        }
        int end = line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.length() - 1 : line.length();
        String text = line.substring(0, end);
        line.setLength(0);
        return switch (state) {
            case STATUS -> parseStatusLine(text);
            case HEADERS -> text.isEmpty() ? headComplete() : addHeader(text) ? ParseStatus.NEED_MORE : ParseStatus.MALFORMED;
            case CHUNK_SIZE -> parseChunkSize(text);
            case CHUNK_END -> {
                headBytes = 0;
                state = State.CHUNK_SIZE;
                yield text.isEmpty() ? ParseStatus.NEED_MORE : ParseStatus.MALFORMED;
            }
            default -> text.isEmpty() ? ParseStatus.DONE : ParseStatus.NEED_MORE;
        };
    }

    private ParseStatus parseStatusLine(String text) {
        if (!text.startsWith("HTTP/1.") || text.length() < 12) {
            return ParseStatus.MALFORMED;
        }
        status = (int) Digits.parse(text.substring(9, 12), 10, 999);
        state = State.HEADERS;
        return status < 100 ? ParseStatus.MALFORMED : ParseStatus.NEED_MORE;
    }

    private boolean addHeader(String text) {
        int colon = text.indexOf(':');
        if (colon < 1) {
            return false;
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).strip();
        String before = headers.put(name, value);
        return before == null || before.equals(value) || !name.equals("content-length"); // with two different lengths, neither can be trusted
    }

    private ParseStatus headComplete() {
        if (status < 200) { // an interim response: the final one follows
            headers.clear();
            state = State.STATUS;
            return ParseStatus.NEED_MORE;
        }
        if (status == 204 || status == 304) {
            return ParseStatus.DONE;
        }
        if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
            state = State.CHUNK_SIZE;
            headBytes = 0;
            return ParseStatus.NEED_MORE;
        }
        String length = header("content-length");
        if (length.isEmpty() && !header("connection").equalsIgnoreCase("close")) {
            return ParseStatus.MALFORMED; // without a length or an announced close, a truncated value would be taken for the whole
        }
        if (length.isEmpty()) {
            state = State.UNTIL_CLOSE;
            bytesLeft = maxBodyBytes + 1;
            return ParseStatus.NEED_MORE;
        }
        bytesLeft = Digits.parse(length, 10, maxBodyBytes);
        state = State.BODY;
        streamsBody = largeValues != null && status == 200 && bytesLeft >= LargeValueHandler.MIN_BYTES;
        if (streamsBody) {
            largeValues.valueStarted(bytesLeft);
        }
        return bytesLeft < 0 ? ParseStatus.MALFORMED : bytesLeft == 0 ? ParseStatus.DONE : ParseStatus.NEED_MORE;
    }

    private ParseStatus parseChunkSize(String text) {
        int semicolon = text.indexOf(';');
        String digits = semicolon < 0 ? text : text.substring(0, semicolon);
        bytesLeft = Digits.parse(digits.strip(), 16, maxBodyBytes - body.size());
        state = bytesLeft == 0 ? State.TRAILERS : State.CHUNK;
        return bytesLeft < 0 ? ParseStatus.MALFORMED : ParseStatus.NEED_MORE;
    }

    /** Releases the buffered body. */
    public void release() {
        body.release();
    }
}
