package dappleseam.wire;

import java.util.ArrayList;
import java.util.List;

/** One RESP2 message: a line behind its sign, a bulk string, or an array of bulk strings. */
public final class RespMessage {
    /** {@code + - : $ *}. */
    public final char type;
    /** The text of a message that is one line. */
    public final String line;
    /** The bulk string, or those of the array; null stands for a null one. */
    public final List<BufferChain> bulks = new ArrayList<>(5);

    RespMessage(char sign, String line) {
        this.type = sign;
        this.line = line;
    }

    /** The first bulk string was long and went to {@link LargeValueHandler}; an empty one stands in for it. */
    boolean firstWasLong;

    public boolean firstWasLong() {
        return firstWasLong;
    }

    public boolean isError() {
        return type == '-';
    }

    public BufferChain bulk(int at) {
        return at < bulks.size() ? bulks.get(at) : null;
    }

    /** Hands the bulk string over: it is no longer released with the message. */
    public BufferChain takeBulk(int at) {
        return bulks.set(at, null);
    }

    public void release() {
        for (BufferChain bulk : bulks) {
            if (bulk != null) {
                bulk.release();
            }
        }
        bulks.clear();
    }
}
