package dappleseam.query;

import dappleseam.wire.BufferChain;

/**
 * What a client asked for, as it is passed on. {@code facts} is the list of names and values as it came;
 * {@code value} is null for a read.
 */
public record Command(String key, String id, String facts, BufferChain value) {
    public boolean isWrite() {
        return value != null;
    }

    /** The value behind {@code name=} in the facts; empty where there is none. */
    public String fact(String name) {
        for (String pair : facts.split(",")) {
            if (pair.startsWith(name) && pair.startsWith("=", name.length())) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    /** The facts, with {@code d} telling how long this proxy waits. */
    public String factsWithTimeout(long waitMs) {
        StringBuilder changed = new StringBuilder();
        for (String pair : facts.split(",")) {
            changed.append(changed.length() == 0 ? "" : ",");
            changed.append(pair.startsWith("d=") ? "d=" + waitMs : pair);
        }
        return changed.toString();
    }

    public void release() {
        if (value != null) {
            value.release();
        }
    }
}
