package dappleseam.fleet.lastlist;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.fleet.lease.Token;
import dappleseam.list.NodeList;
import java.io.IOException;

/** Where the fleet's last known list is kept: a resource that refuses older tokens than it has seen. */
public interface ListStore {
    /** What is there. {@code writtenMs}: by the writer's wall clock; {@code list}: in the list service's form. */
    record Stored(Token token, double writtenMs, JsonNode list) {}

    /** A later holder has written. */
    final class FencedException extends IOException {
        private static final long serialVersionUID = 1L;
        private final transient Token seen;

        public FencedException(Token seen) {
            super("a later holder has written, its round is " + seen.round());
            this.seen = seen;
        }

        public Token seen() {
            return seen;
        }
    }

    /** Returns once it lasts. */
    void write(Token token, double nowMs, NodeList list) throws IOException;

    /** An exception says why there is nothing to be had. */
    Stored read() throws IOException;
}
