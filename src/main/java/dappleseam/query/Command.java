package dappleseam.query;

import dappleseam.wire.BufferChain;

/**
 * A client's command as it is forwarded. {@code facts} is the comma-separated list of {@code name=value} pairs as received;
 * {@code value} is null for a read.
 */
public record Command(String key, String id, String facts, BufferChain value) {
    public boolean isWrite() {
        return value != null;
    }

    /** The value of {@code name} in the facts; empty if it is not there. */
    public String fact(String name) {
        return fact(facts, name);
    }

    /** The value of {@code name} in a list of facts; empty if it is not there. */
    public static String fact(String facts, String name) {
        for (String pair : facts.split(",")) {
            if (pair.startsWith(name) && pair.startsWith("=", name.length())) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    /** The facts with {@code d} replaced by the time in ms that this proxy waits for the answer. */
    public String factsWithTimeout(long timeoutMs) {
        StringBuilder changed = new StringBuilder();
        for (String pair : facts.split(",")) {
            changed.append(changed.length() == 0 ? "" : ",");
            changed.append(pair.startsWith("d=") ? "d=" + timeoutMs : pair);
        }
        return changed.toString();
    }

    /** Returns the buffers of the value to the pool. */
    public void release() {
        if (value != null) {
            value.release();
        }
    }
}
