package dappleseam.wire;

/** Writes RESP2. */
public final class RespWriter {
    private RespWriter() {}

    public static void array(BufferChain to, int length) {
        to.put("*" + length + "\r\n");
    }

    public static void bulk(BufferChain to, String text) {
        to.put("$" + text.length() + "\r\n" + text + "\r\n");
    }

    public static void bulk(BufferChain to, BufferChain bytes) {
        to.put("$" + bytes.size() + "\r\n").copyFrom(bytes).put("\r\n");
    }

    /** Writes the bulk string and leaves {@code bytes} empty. */
    public static void bulkMoved(BufferChain to, BufferChain bytes) {
        to.put("$" + bytes.size() + "\r\n").moveFrom(bytes);
        to.put("\r\n");
    }

    /** A line with its sign in front. */
    public static void line(BufferChain to, String signed) {
        to.put(signed + "\r\n");
    }
}
