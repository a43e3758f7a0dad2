package dappleseam.wire;

import java.nio.ByteBuffer;

/** Incremental parser of RESP2: single-line messages, bulk strings, and arrays of bulk strings, all bounded. */
public final class RespReader {
    private static final int LONGEST_LINE = 512;
    private static final int LONGEST_ARRAY = 8;
    /** Bytes that the bulk strings of a message may have in addition to one of maximum length. */
    private static final int LONGEST_REST = 8 << 10;

    private final BufferPool pool;
    private final int longestBulk;
    /** Receives a large bulk string that is the first of its array; null if all are buffered. */
    private final Large large;
    private boolean toLarge;
    private final StringBuilder line = new StringBuilder();
    private RespMessage message;
    /** Bulk strings of the array that are still missing. */
    private int bulksLeft;
    /** Bytes that further bulk strings of the message may have; bounds the buffers used by a message with many long ones. */
    private int room;
    private Chain bulk;
    /** Bytes of the bulk string that are still missing; -1 and -2 while its terminating CR and LF are expected. */
    private int bulkLeft;

    public RespReader(BufferPool pool, int longestBulk) {
        this(pool, longestBulk, null);
    }

    public RespReader(BufferPool pool, int longestBulk, Large large) {
        this.pool = pool;
        this.longestBulk = longestBulk;
        this.large = large;
    }

    /** Bytes still missing from the bulk string being read. */
    public long bulkLeft() {
        return bulk == null ? 0 : Math.max(0, bulkLeft);
    }

    /** The completed message, which the caller has to release. */
    public RespMessage take() {
        RespMessage done = message;
        message = null;
        return done;
    }

    /** Whether no part of a message has been read. */
    public boolean isBetweenMessages() {
        return message == null && line.length() == 0;
    }

    /** Parses bytes of {@code in} until a message is complete or malformed, or no bytes are left. */
    public Progress read(ByteBuffer in) {
        while (in.hasRemaining()) {
            Progress progress = bulk != null ? bulkPart(in) : linePart(in);
            if (progress != Progress.MORE) {
                return progress;
            }
        }
        return Progress.MORE;
    }

    private Progress linePart(ByteBuffer in) {
        char c = (char) (in.get() & 0xFF);
        if (c != '\n') {
            line.append(c);
            return line.length() > LONGEST_LINE ? Progress.BAD : Progress.MORE;
        }
        int end = line.length() - 1;
        if (end < 1 || line.charAt(end) != '\r') {
            return Progress.BAD;
        }
        char sign = line.charAt(0);
        String rest = line.substring(1, end);
        line.setLength(0);
        if (message != null && sign != '$') {
            return Progress.BAD;
        }
        return switch (sign) {
            case '+', '-', ':' -> {
                message = new RespMessage(sign, rest);
                yield Progress.DONE;
            }
            case '*' -> array(number(rest, LONGEST_ARRAY));
            case '$' -> bulk(number(rest, longestBulk));
            default -> Progress.BAD;
        };
    }

    private Progress array(int length) {
        if (length < -1) {
            return Progress.BAD;
        }
        message = new RespMessage('*', "");
        room = longestBulk + LONGEST_REST;
        bulksLeft = Math.max(0, length);
        return bulksLeft == 0 ? Progress.DONE : Progress.MORE;
    }

    private Progress bulk(int length) {
        if (length < -1) {
            return Progress.BAD;
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
            return Progress.BAD;
        }
        bulk = new Chain(pool);
        toLarge = large != null && message.sign == '*' && message.bulks.isEmpty() && length >= Large.FROM;
        if (toLarge) {
            message.firstWasLong = true;
            large.begins(length);
        }
        bulkLeft = length == 0 ? -1 : length;
        return Progress.MORE;
    }

    private Progress bulkPart(ByteBuffer in) {
        if (bulkLeft > 0) {
            int part = Math.min(bulkLeft, in.remaining());
            if (toLarge) {
                large.part(in, part);
            } else {
                bulk.put(in, part);
            }
            bulkLeft = bulkLeft == part ? -1 : bulkLeft - part;
            return Progress.MORE;
        }
        byte expected = (byte) (bulkLeft == -1 ? '\r' : '\n');
        if (in.get() != expected) {
            return Progress.BAD;
        }
        if (bulkLeft-- == -1) {
            return Progress.MORE;
        }
        Chain done = bulk;
        bulk = null;
        return bulkDone(done);
    }

    private Progress bulkDone(Chain done) {
        message.bulks.add(done);
        return --bulksLeft == 0 ? Progress.DONE : Progress.MORE;
    }

    /** Returns the length if it is from -1 to {@code maxLength}, -2 for anything else. */
    private static int number(String digits, int most) {
        if (digits.equals("-1")) {
            return -1;
        }
        int number = (int) Digits.read(digits, 10, most);
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
            take().release();
        }
    }
}
