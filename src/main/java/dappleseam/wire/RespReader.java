package dappleseam.wire;

import java.nio.ByteBuffer;

/** Incremental parser of RESP2: single-line messages, bulk strings, and arrays of bulk strings, all bounded. */
public final class RespReader {
    private static final int MAX_LINE_LENGTH = 512;
    private static final int MAX_ARRAY_LENGTH = 8;
    /** Bytes that the bulk strings of a message may have in addition to one of maximum length. */
    private static final int MAX_OTHER_BYTES = 8 << 10;

    private final BufferPool pool;
    private final int maxBulkBytes;
    /** Receives a large bulk string that is the first of its array; null if all are buffered. */
    private final LargeValueHandler largeValues;
    private boolean streamsBulk;
    private final StringBuilder line = new StringBuilder();
    private RespMessage message;
    /** Bulk strings of the array that are still missing. */
    private int bulksLeft;
    /** Bytes that further bulk strings of the message may have; bounds the buffers used by a message with many long ones. */
    private int bytesAllowed;
    private BufferChain bulk;
    /** Bytes of the bulk string that are still missing; -1 and -2 while its terminating CR and LF are expected. */
    private int bulkBytesLeft;

    public RespReader(BufferPool pool, int maxBulkBytes) {
        this(pool, maxBulkBytes, null);
    }

    public RespReader(BufferPool pool, int maxBulkBytes, LargeValueHandler largeValues) {
        this.pool = pool;
        this.maxBulkBytes = maxBulkBytes;
        this.largeValues = largeValues;
    }

    /** Bytes still missing from the bulk string being read. */
    public long bulkBytesLeft() {
        return bulk == null ? 0 : Math.max(0, bulkBytesLeft);
    }

    /** The completed message, which the caller has to release. */
    public RespMessage takeMessage() {
        RespMessage done = message;
        message = null;
        return done;
    }

    /** Whether no part of a message has been read. */
    public boolean isBetweenMessages() {
        return message == null && line.length() == 0;
    }

    /** Parses bytes of {@code in} until a message is complete or malformed, or no bytes are left. */
    public ParseStatus read(ByteBuffer in) {
        while (in.hasRemaining()) {
            ParseStatus parsed = bulk != null ? readBulk(in) : readLine(in);
            if (parsed != ParseStatus.NEED_MORE) {
                return parsed;
            }
        }
        return ParseStatus.NEED_MORE;
    }

    private ParseStatus readLine(ByteBuffer in) {
        char c = (char) (in.get() & 0xFF);
        if (c != '\n') {
            line.append(c);
            return line.length() > MAX_LINE_LENGTH ? ParseStatus.MALFORMED : ParseStatus.NEED_MORE;
        }
        int end = line.length() - 1;
        if (end < 1 || line.charAt(end) != '\r') {
            return ParseStatus.MALFORMED;
        }
        char type = line.charAt(0);
        String rest = line.substring(1, end);
        line.setLength(0);
        if (message != null && type != '$') {
            return ParseStatus.MALFORMED;
        }
        return switch (type) {
            case '+', '-', ':' -> {
                message = new RespMessage(type, rest);
                yield ParseStatus.DONE;
            }
            case '*' -> startArray(parseLength(rest, MAX_ARRAY_LENGTH));
            case '$' -> startBulk(parseLength(rest, maxBulkBytes));
            default -> ParseStatus.MALFORMED;
        };
    }

    private ParseStatus startArray(int length) {
        if (length < -1) {
            return ParseStatus.MALFORMED;
        }
        message = new RespMessage('*', "");
        bytesAllowed = maxBulkBytes + MAX_OTHER_BYTES;
        bulksLeft = Math.max(0, length);
        return bulksLeft == 0 ? ParseStatus.DONE : ParseStatus.NEED_MORE;
    }

    private ParseStatus startBulk(int length) {
        if (length < -1) {
            return ParseStatus.MALFORMED;
        }
        if (message == null) {
            message = new RespMessage('$', "");
            bytesAllowed = maxBulkBytes;
            bulksLeft = 1;
        }
        if (length == -1) {
            return bulkComplete(null);
        }
        bytesAllowed -= length;
        if (bytesAllowed < 0) {
            return ParseStatus.MALFORMED;
        }
        bulk = new BufferChain(pool);
        streamsBulk = largeValues != null && message.type == '*' && message.bulks.isEmpty() && length >= LargeValueHandler.MIN_BYTES;
        if (streamsBulk) {
            message.isFirstBulkLarge = true;
            largeValues.valueStarted(length);
        }
        bulkBytesLeft = length == 0 ? -1 : length;
        return ParseStatus.NEED_MORE;
    }

    private ParseStatus readBulk(ByteBuffer in) {
        if (bulkBytesLeft > 0) {
            int part = Math.min(bulkBytesLeft, in.remaining());
            if (streamsBulk) {
                largeValues.valueBytes(in, part);
            } else {
                bulk.put(in, part);
            }
            bulkBytesLeft = bulkBytesLeft == part ? -1 : bulkBytesLeft - part;
            return ParseStatus.NEED_MORE;
        }
        byte expected = (byte) (bulkBytesLeft == -1 ? '\r' : '\n');
        if (in.get() != expected) {
            return ParseStatus.MALFORMED;
        }
        if (bulkBytesLeft-- == -1) {
            return ParseStatus.NEED_MORE;
        }
        BufferChain done = bulk;
        bulk = null;
        return bulkComplete(done);
    }

    private ParseStatus bulkComplete(BufferChain done) {
        message.bulks.add(done);
        return --bulksLeft == 0 ? ParseStatus.DONE : ParseStatus.NEED_MORE;
    }

    /** Returns the length if it is from -1 to {@code maxLength}, -2 for anything else. */
    private static int parseLength(String digits, int maxLength) {
        if (digits.equals("-1")) {
            return -1;
        }
        int number = (int) Digits.parse(digits, 10, maxLength);
        return number < 0 ? -2 : number;
    }

    /** Discards an incomplete message and releases its buffers. */
    public void release() {
        line.setLength(0);
        if (bulk != null) {
            bulk.release();
            bulk = null;
        }
        if (message != null) {
            takeMessage().release();
        }
    }
}
