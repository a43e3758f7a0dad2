package dappleseam.wire;

import java.nio.ByteBuffer;

/** Reads RESP2 as its bytes come: lines, bulk strings, and arrays of bulk strings, all bounded. */
public final class RespReader {
    private static final int LONGEST_LINE = 512;
    private static final int LONGEST_ARRAY = 8;
    /** Bytes that a message may hold beside its longest bulk string. */
    private static final int LONGEST_REST = 8 << 10;

    private final BufferPool pool;
    private final int longestBulk;
    /** Takes a long bulk string that comes first in its array; null where all are held. */
    private final LargeValueHandler large;
    private boolean toLarge;
    private final StringBuilder line = new StringBuilder();
    private RespMessage message;
    /** Bulk strings of the array still to come. */
    private int bulksLeft;
    /** Bytes that its bulk strings may still have; guards the buffers against many long ones. */
    private int room;
    private BufferChain bulk;
    /** Bytes of the bulk string still to come; -1 and -2 for the line end behind it. */
    private int bulkLeft;

    public RespReader(BufferPool pool, int longestBulk) {
        this(pool, longestBulk, null);
    }

    public RespReader(BufferPool pool, int longestBulk, LargeValueHandler large) {
        this.pool = pool;
        this.longestBulk = longestBulk;
        this.large = large;
    }

    /** Bytes that the bulk string being read still lacks. */
    public long bulkLeft() {
        return bulk == null ? 0 : Math.max(0, bulkLeft);
    }

    /** The message that is done; the caller releases it. */
    public RespMessage takeMessage() {
        RespMessage done = message;
        message = null;
        return done;
    }

    public boolean isBetweenMessages() {
        return message == null && line.length() == 0;
    }

    public ParseStatus read(ByteBuffer in) {
        while (in.hasRemaining()) {
            ParseStatus progress = bulk != null ? bulkPart(in) : linePart(in);
            if (progress != ParseStatus.NEED_MORE) {
                return progress;
            }
        }
        return ParseStatus.NEED_MORE;
    }

    private ParseStatus linePart(ByteBuffer in) {
        char c = (char) (in.get() & 0xFF);
        if (c != '\n') {
            line.append(c);
            return line.length() > LONGEST_LINE ? ParseStatus.MALFORMED : ParseStatus.NEED_MORE;
        }
        int end = line.length() - 1;
        if (end < 1 || line.charAt(end) != '\r') {
            return ParseStatus.MALFORMED;
        }
        char sign = line.charAt(0);
        String rest = line.substring(1, end);
        line.setLength(0);
        if (message != null && sign != '$') {
            return ParseStatus.MALFORMED;
        }
        return switch (sign) {
            case '+', '-', ':' -> {
                message = new RespMessage(sign, rest);
                yield ParseStatus.DONE;
            }
            case '*' -> array(number(rest, LONGEST_ARRAY));
            case '$' -> bulk(number(rest, longestBulk));
            default -> ParseStatus.MALFORMED;
        };
    }

    private ParseStatus array(int length) {
        if (length < -1) {
            return ParseStatus.MALFORMED;
        }
        message = new RespMessage('*', "");
        room = longestBulk + LONGEST_REST;
        bulksLeft = Math.max(0, length);
        return bulksLeft == 0 ? ParseStatus.DONE : ParseStatus.NEED_MORE;
    }

    private ParseStatus bulk(int length) {
        if (length < -1) {
            return ParseStatus.MALFORMED;
        }
        if (message == null) {
            message = new RespMessage('$', "");
            room = longestBulk;
            bulksLeft = 1;
        }
        if (length == -1) {
            return bulkDone(null);
        }
        room -= length;
        if (room < 0) {
            return ParseStatus.MALFORMED;
        }
        bulk = new BufferChain(pool);
        toLarge = large != null && message.type == '*' && message.bulks.isEmpty() && length >= LargeValueHandler.MIN_BYTES;
        if (toLarge) {
            message.firstWasLong = true;
            large.valueStarted(length);
        }
        bulkLeft = length == 0 ? -1 : length;
        return ParseStatus.NEED_MORE;
    }

    private ParseStatus bulkPart(ByteBuffer in) {
        if (bulkLeft > 0) {
            int part = Math.min(bulkLeft, in.remaining());
            if (toLarge) {
                large.valueBytes(in, part);
            } else {
                bulk.put(in, part);
            }
            bulkLeft = bulkLeft == part ? -1 : bulkLeft - part;
            return ParseStatus.NEED_MORE;
        }
        byte expected = (byte) (bulkLeft == -1 ? '\r' : '\n');
        if (in.get() != expected) {
            return ParseStatus.MALFORMED;
        }
        if (bulkLeft-- == -1) {
            return ParseStatus.NEED_MORE;
        }
        BufferChain done = bulk;
        bulk = null;
        return bulkDone(done);
    }

    private ParseStatus bulkDone(BufferChain done) {
        message.bulks.add(done);
        return --bulksLeft == 0 ? ParseStatus.DONE : ParseStatus.NEED_MORE;
    }

    /** The number from -1 to {@code most}; -2 for anything else. */
    private static int number(String digits, int most) {
        if (digits.equals("-1")) {
            return -1;
        }
        int number = (int) Digits.read(digits, 10, most);
        return number < 0 ? -2 : number;
    }

    /** Gives back what a message cut short holds. */
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
