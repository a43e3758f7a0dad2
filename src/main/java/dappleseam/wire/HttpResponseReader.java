package dappleseam.wire;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 answers as their bytes come; head and body are bounded. */
public final class HttpResponseReader {
    private static final int LONGEST_HEAD = 8 << 10;

    private enum Part { STATUS, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, TO_THE_END }

    private final BufferPool pool;
    private final long longestBody;
    /** Takes the body of a long good answer that tells its length; null where all are held. */
    private final LargeValueHandler large;
    private boolean toLarge;
    private final StringBuilder line = new StringBuilder();
    private final Map<String, String> headers = new HashMap<>();
    private Part part = Part.STATUS;
    private int headBytes;
    private int status;
    private BufferChain body;
    private long left;

    public HttpResponseReader(BufferPool pool, long longestBody) {
        this(pool, longestBody, null);
    }

    public HttpResponseReader(BufferPool pool, long longestBody, LargeValueHandler large) {
        this.pool = pool;
        this.longestBody = longestBody;
        this.large = large;
        body = new BufferChain(pool);
    }

    public int status() {
        return status;
    }

    /** The header's value, by its name in small letters; empty where it is missing. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** Whether the connection can carry another exchange after this one. */
    public boolean staysOpen() {
        return part != Part.TO_THE_END && !header("connection").equalsIgnoreCase("close");
    }

    /** The body of the answer that is done; the caller releases it. The next answer may then be read. */
    public BufferChain takeBody() {
        BufferChain done = body;
        body = new BufferChain(pool);
        headers.clear();
        headBytes = 0;
        toLarge = false;
        part = Part.STATUS;
        return done;
    }

    /** Bytes held of the body. */
    public long held() {
        return body.size();
    }

    public ParseStatus read(ByteBuffer in) {
        while (in.hasRemaining()) {
            ParseStatus progress = switch (part) {
                case BODY, CHUNK, TO_THE_END -> bodyPart(in);
                default -> linePart(in);
            };
            if (progress != ParseStatus.NEED_MORE) {
                return progress;
            }
        }
        return ParseStatus.NEED_MORE;
    }

    /** The connection has ended: whether that is also the end of the body. */
    public boolean endsBody() {
        return part == Part.TO_THE_END;
    }

    private ParseStatus bodyPart(ByteBuffer in) {
        int count = (int) Math.min(left, in.remaining());
        if (toLarge) {
            large.valueBytes(in, count);
        } else {
            body.put(in, count);
        }
        left -= count;
        if (left > 0) {
            return ParseStatus.NEED_MORE;
        }
        if (part == Part.CHUNK) {
            part = Part.CHUNK_END;
            return ParseStatus.NEED_MORE;
        }
        return part == Part.BODY ? ParseStatus.DONE : ParseStatus.MALFORMED;
    }

    private ParseStatus linePart(ByteBuffer in) {
        char c = (char) (in.get() & 0xFF);
        if (++headBytes > LONGEST_HEAD) {
            return ParseStatus.MALFORMED;
        }
        if (c != '\n') {
            line.append(c);
            return ParseStatus.NEED_MORE;
        }
        int end = line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.length() - 1 : line.length();
        String text = line.substring(0, end);
        line.setLength(0);
        return switch (part) {
            case STATUS -> statusLine(text);
            case HEADERS -> text.isEmpty() ? headDone() : addHeader(text) ? ParseStatus.NEED_MORE : ParseStatus.MALFORMED;
            case CHUNK_SIZE -> chunkSize(text);
            case CHUNK_END -> {
                headBytes = 0;
                part = Part.CHUNK_SIZE;
                yield text.isEmpty() ? ParseStatus.NEED_MORE : ParseStatus.MALFORMED;
            }
            default -> text.isEmpty() ? ParseStatus.DONE : ParseStatus.NEED_MORE;
        };
    }

    private ParseStatus statusLine(String text) {
        if (!text.startsWith("HTTP/1.") || text.length() < 12) {
            return ParseStatus.MALFORMED;
        }
        status = (int) Digits.read(text.substring(9, 12), 10, 999);
        part = Part.HEADERS;
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
        return before == null || before.equals(value) || !name.equals("content-length"); // two lengths: neither holds
    }

    private ParseStatus headDone() {
        if (status < 200) { // an interim answer: the real one follows
            headers.clear();
            part = Part.STATUS;
            return ParseStatus.NEED_MORE;
        }
        if (status == 204 || status == 304) {
            return ParseStatus.DONE;
        }
        if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
            part = Part.CHUNK_SIZE;
            headBytes = 0;
            return ParseStatus.NEED_MORE;
        }
        String length = header("content-length");
        if (length.isEmpty() && !header("connection").equalsIgnoreCase("close")) {
            return ParseStatus.MALFORMED; // without a length or an announced end, part of a value would pass for the whole
        }
        if (length.isEmpty()) {
            part = Part.TO_THE_END;
            left = longestBody + 1;
            return ParseStatus.NEED_MORE;
        }
        left = Digits.read(length, 10, longestBody);
        part = Part.BODY;
        toLarge = large != null && status == 200 && left >= LargeValueHandler.MIN_BYTES;
        if (toLarge) {
            large.valueStarted(left);
        }
        return left < 0 ? ParseStatus.MALFORMED : left == 0 ? ParseStatus.DONE : ParseStatus.NEED_MORE;
    }

    private ParseStatus chunkSize(String text) {
        int semicolon = text.indexOf(';');
        String digits = semicolon < 0 ? text : text.substring(0, semicolon);
        left = Digits.read(digits.strip(), 16, longestBody - body.size());
        part = left == 0 ? Part.TRAILERS : Part.CHUNK;
        return left < 0 ? ParseStatus.MALFORMED : ParseStatus.NEED_MORE;
    }

    public void release() {
        body.release();
    }
}
