package dappleseam.wire;

/** Writes RESP2. */
public final class RespWriter {
    private RespWriter() {}

    public static void array(Chain to, int length) {
        to.put("*" + length + "\r\n");
    }

    public static void bulk(Chain to, String text) {
        to.put("$" + text.length() + "\r\n" + text + "\r\n");
    }

    public static void bulk(Chain to, Chain bytes) {
        to.put("$" + bytes.size() + "\r\n").copy(bytes).put("\r\n");
    }

    /** Writes the bulk string and leaves {@code bytes} empty. */
    public static void bulkMoved(Chain to, Chain bytes) {
        to.put("$" + bytes.size() + "\r\n").take(bytes);
        to.put("\r\n");
    }

    /** A line with its sign in front. */
    public static void line(Chain to, String signed) {
        to.put(signed + "\r\n");
    }
}
