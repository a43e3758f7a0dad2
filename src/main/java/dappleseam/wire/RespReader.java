package dappleseam.wire;

import java.nio.ByteBuffer;

/** Incremental parser of RESP2: single-line messages, bulk strings, and arrays of bulk strings, all bounded. */
public final class RespReader {
    private static final int MAX_LINE_LENGTH = 512;
    private static final int MAX_ARRAY_LENGTH = 8;
    /** Maximum bytes of a bulk string that takes no pooled buffer: keys, ids, facts, short values. */
    static final int SMALL_BYTES = 1 << 10;
    /** Bytes that the bulk strings of a message may have in addition to one of maximum length. */
    private static final int MAX_OTHER_BYTES = 8 << 10;

    private final BufferPool pool;
    private final int maxBulkBytes;
    /** Receives a large bulk string that is the first of its array; null if all are buffered. */
    private final LargeValueHandler largeValues;
    private boolean streamsBulk;
    private boolean discardsBulk;
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

    /** Bytes still missing from the bulk string being read, if it takes pooled buffers; else 0. */
    public int pooledBytesLeft() {
        return bulk == null || discardsBulk || bulk.size() + bulkBytesLeft <= SMALL_BYTES ? 0 : Math.max(0, bulkBytesLeft);
    }

    /** The bulk string at that index of the message being read; null if it has not been read yet. */
    public BufferChain partialBulk(int at) {
        return message == null ? null : message.bulk(at);
    }

    /** Reads the rest of the current bulk string without keeping it; {@link RespMessage#isPartlyDiscarded} tells so. */
    public void discardBulk() {
        discardsBulk = true;
        message.isPartlyDiscarded = true;
        bulk.release();
    }

    /** Whether the rest of the current bulk string is read without being kept. */
    public boolean isDiscarding() {
        return discardsBulk;
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
        streamsBulk = largeValues != null && message.type == '*' && message.bulks.isEmpty() && length >= LargeValueHandler.MIN_BYTES;
        bulk = streamsBulk || length > SMALL_BYTES ? new BufferChain(pool) : BufferChain.small(pool, length);
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
            if (discardsBulk) {
                in.position(in.position() + part);
            } else if (streamsBulk) {
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
        discardsBulk = false;
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
        discardsBulk = false;
        if (bulk != null) {
            bulk.release();
            bulk = null;
        }
        if (message != null) {
            takeMessage().release();
        }
    }
}
