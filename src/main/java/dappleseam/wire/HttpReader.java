package dappleseam.wire;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Incremental parser of HTTP/1.1 responses, with bounds on head and body. */
public final class HttpReader {
    private static final int LONGEST_HEAD = 8 << 10;

    /** What is parsed next. */
    private enum Part { STATUS, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, TO_THE_END }

    private final BufferPool pool;
    private final long longestBody;
    /** Receives the body of a large 200 response that has a Content-Length; null if all bodies are buffered. */
    private final Large large;
    private boolean toLarge;
    private final StringBuilder line = new StringBuilder();
    private final Map<String, String> headers = new HashMap<>();
    private Part part = Part.STATUS;
    private int headBytes;
    private int status;
    private Chain body;
    private long left;

    public HttpReader(BufferPool pool, long longestBody) {
        this(pool, longestBody, null);
    }

    public HttpReader(BufferPool pool, long longestBody, Large large) {
        this.pool = pool;
        this.longestBody = longestBody;
        this.large = large;
        body = new Chain(pool);
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
        return part != Part.TO_THE_END && !header("connection").equalsIgnoreCase("close");
    }

    /** The body of the completed response, which the caller has to release. Also resets the parser for the next response. */
    public Chain takeBody() {
        Chain done = body;
        body = new Chain(pool);
        headers.clear();
        headBytes = 0;
        toLarge = false;
        part = Part.STATUS;
        return done;
    }

    /** Bytes buffered of the body. */
    public long held() {
        return body.size();
    }

    /** Parses bytes of {@code in} until the response is complete or malformed, or no bytes are left. */
    public Progress read(ByteBuffer in) {
        while (in.hasRemaining()) {
            Progress progress = switch (part) {
                case BODY, CHUNK, TO_THE_END -> bodyPart(in);
                default -> linePart(in);
            };
            if (progress != Progress.MORE) {
                return progress;
            }
        }
        return Progress.MORE;
    }

    /** Whether a close of the connection at this point is the regular end of the body. */
    public boolean endsBody() {
        return part == Part.TO_THE_END;
    }

    private Progress bodyPart(ByteBuffer in) {
        int count = (int) Math.min(left, in.remaining());
        if (toLarge) {
            large.part(in, count);
        } else {
            body.put(in, count);
        }
        left -= count;
        if (left > 0) {
            return Progress.MORE;
        }
        if (part == Part.CHUNK) {
            part = Part.CHUNK_END;
            return Progress.MORE;
        }
        return part == Part.BODY ? Progress.DONE : Progress.BAD;
    }

    private Progress linePart(ByteBuffer in) {
        char c = (char) (in.get() & 0xFF);
        if (++headBytes > LONGEST_HEAD) {
            return Progress.BAD;
        }
        if (c != '\n') {
            line.append(c);
            return Progress.MORE;
        }
        int end = line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.length() - 1 : line.length();
        String text = line.substring(0, end);
        line.setLength(0);
        return switch (part) {
            case STATUS -> statusLine(text);
            case HEADERS -> text.isEmpty() ? headDone() : addHeader(text) ? Progress.MORE : Progress.BAD;
            case CHUNK_SIZE -> chunkSize(text);
            case CHUNK_END -> {
                headBytes = 0;
                part = Part.CHUNK_SIZE;
                yield text.isEmpty() ? Progress.MORE : Progress.BAD;
            }
            default -> text.isEmpty() ? Progress.DONE : Progress.MORE;
        };
    }

    private Progress statusLine(String text) {
        if (!text.startsWith("HTTP/1.") || text.length() < 12) {
            return Progress.BAD;
        }
        status = (int) Digits.read(text.substring(9, 12), 10, 999);
        part = Part.HEADERS;
        return status < 100 ? Progress.BAD : Progress.MORE;
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

    private Progress headDone() {
        if (status < 200) { // an interim response: the final one follows
            headers.clear();
            part = Part.STATUS;
            return Progress.MORE;
        }
        if (status == 204 || status == 304) {
            return Progress.DONE;
        }
        if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
            part = Part.CHUNK_SIZE;
            headBytes = 0;
            return Progress.MORE;
        }
        String length = header("content-length");
        if (length.isEmpty() && !header("connection").equalsIgnoreCase("close")) {
            return Progress.BAD; // without a length or an announced close, a truncated value would be taken for the whole
        }
        if (length.isEmpty()) {
            part = Part.TO_THE_END;
            left = longestBody + 1;
            return Progress.MORE;
        }
        left = Digits.read(length, 10, longestBody);
        part = Part.BODY;
        toLarge = large != null && status == 200 && left >= Large.FROM;
        if (toLarge) {
            large.begins(left);
        }
        return left < 0 ? Progress.BAD : left == 0 ? Progress.DONE : Progress.MORE;
    }

    private Progress chunkSize(String text) {
        int semicolon = text.indexOf(';');
        String digits = semicolon < 0 ? text : text.substring(0, semicolon);
        left = Digits.read(digits.strip(), 16, longestBody - body.size());
        part = left == 0 ? Part.TRAILERS : Part.CHUNK;
        return left < 0 ? Progress.BAD : Progress.MORE;
    }

    /** Releases the buffered body. */
    public void release() {
        body.release();
    }
}
