package dappleseam.wire;

/** Encodes RESP2 messages. */
public final class RespWriter {
    private RespWriter() {}

    /** Writes the header of an array of that many elements. */
    public static void array(Chain to, int length) {
        to.put("*" + length + "\r\n");
    }

    public static void bulk(Chain to, String text) {
        to.put("$" + text.length() + "\r\n" + text + "\r\n");
    }

    public static void bulk(Chain to, Chain bytes) {
        to.put("$" + bytes.size() + "\r\n").copy(bytes).put("\r\n");
    }

    /** Writes a bulk string by moving its content, which leaves {@code bytes} empty. */
    public static void bulkMoved(Chain to, Chain bytes) {
        to.put("$" + bytes.size() + "\r\n").take(bytes);
        to.put("\r\n");
    }

    /** Writes a single-line message, given with its type character. */
    public static void line(Chain to, String signed) {
        to.put(signed + "\r\n");
    }
}
