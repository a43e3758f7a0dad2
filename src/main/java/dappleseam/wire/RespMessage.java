package dappleseam.wire;

import java.util.ArrayList;
import java.util.List;

/** A RESP2 message: a simple string, error, integer, bulk string, or array of bulk strings. */
public final class RespMessage {
    /** The RESP type character: one of {@code + - : $ *}. */
    public final char type;
    /** The text of a single-line message, without its type character. */
    public final String line;
    /** The bulk string, or those of the array; null bulk strings are null elements. */
    public final List<BufferChain> bulks = new ArrayList<>(5);

    RespMessage(char type, String line) {
        this.type = type;
        this.line = line;
    }

    /** The first bulk string was large and went to a {@link LargeValueHandler}; an empty one takes its place here. */
    boolean isFirstBulkLarge;

    /** A bulk string was read without being kept; what is here of it is incomplete. */
    boolean isPartlyDiscarded;

    public boolean isPartlyDiscarded() {
        return isPartlyDiscarded;
    }

    public boolean isFirstBulkLarge() {
        return isFirstBulkLarge;
    }

    public boolean isError() {
        return type == '-';
    }

    /** The bulk string at that index; null if it is null or there is none. */
    public BufferChain bulk(int at) {
        return at < bulks.size() ? bulks.get(at) : null;
    }

    /** Transfers ownership of the bulk string to the caller: it is no longer released with the message. */
    public BufferChain takeBulk(int at) {
        return bulks.set(at, null);
    }

    /** Returns the buffers of the bulk strings to the pool. */
    public void release() {
        for (BufferChain bulk : bulks) {
            if (bulk != null) {
                bulk.release();
            }
        }
        bulks.clear();
    }
}
