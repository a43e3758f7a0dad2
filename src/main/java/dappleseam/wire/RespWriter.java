package dappleseam.wire;

/** Encodes RESP2 messages. */
public final class RespWriter {
    private RespWriter() {}

    /** Writes the header of an array of that many elements. */
    public static void array(BufferChain to, int length) {
        to.put("*" + length + "\r\n");
    }

    public static void bulk(BufferChain to, String text) {
        to.put("$" + text.length() + "\r\n" + text + "\r\n");
    }

    public static void bulk(BufferChain to, BufferChain bytes) {
        to.put("$" + bytes.size() + "\r\n").copyFrom(bytes).put("\r\n");
    }

    /** Writes a bulk string by moving its content, which leaves {@code bytes} empty. */
    public static void bulkMoved(BufferChain to, BufferChain bytes) {
        to.put("$" + bytes.size() + "\r\n").moveFrom(bytes);
        to.put("\r\n");
    }

    /** Writes a single-line message, given with its type character. */
    public static void line(BufferChain to, String typedLine) {
        to.put(typedLine + "\r\n");
    }
}
