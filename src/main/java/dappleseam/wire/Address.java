package dappleseam.wire;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code host:port}. */
public final class Address {
    private Address() {}

    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not an address and a port: " + text);
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not an address and a port: " + text, e);
        }
    }
}
