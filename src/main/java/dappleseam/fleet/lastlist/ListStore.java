package dappleseam.fleet.lastlist;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.fleet.lease.Token;
import dappleseam.list.ListFile;
import dappleseam.list.NodeList;
import java.io.IOException;

/** Where the fleet's last known list is kept: a resource that refuses older tokens than it has seen. */
public interface ListStore {
    /** What is there. {@code number}: of that token's writes; {@code writtenMs}: by the writer's wall clock; {@code list}: in the list service's form. */
    record Stored(Token token, long number, double writtenAtMs, JsonNode list) {
        /** Whether a write by that token and number comes after this one: guards against one that was long on its way. */
        public boolean isBefore(Token other, long itsNumber) {
            return token.isBelow(other) || token.equals(other) && number < itsNumber;
        }

        /** As {@link ListStore#write(JsonGenerator, Token, long, double, NodeList)} has it; an {@link IllegalArgumentException} where it was never written so. */
        public static Stored of(JsonNode root) {
            if (!root.path("token").path(1).isIntegralNumber() || !root.path("list").isObject()) {
                throw new IllegalArgumentException("no list with its token");
            }
            return new Stored(new Token(root.path("token").path(0).asLong(), root.path("token").path(1).asLong()), root.path("number").asLong(),
                    root.path("written_ms").asDouble(), root.path("list"));
        }
    }

    /** The form in which it is kept, as one object. */
    static void write(JsonGenerator json, Token token, long number, double nowMs, NodeList list) throws IOException {
        json.writeStartObject();
        json.writeArrayFieldStart("token");
        json.writeNumber(token.round());
        json.writeNumber(token.nonce());
        json.writeEndArray();
        json.writeNumberField("number", number);
        json.writeNumberField("written_ms", nowMs);
        json.writeFieldName("list");
        ListFile.write(json, list);
        json.writeEndObject();
    }

    /** A later holder has written, or this one has since. */
    final class FencedException extends IOException {
        private static final long serialVersionUID = 1L;
        private final transient Token seen;

        public FencedException(Token seen) {
            super("a later write is there, its token is " + seen.text());
            this.seen = seen;
        }

        public Token seen() {
            return seen;
        }
    }

    /** Returns once it lasts. {@code number}: one more with each write of a token. */
    void write(Token token, long number, double nowMs, NodeList list) throws IOException;

    /** An exception says why there is nothing to be had. */
    Stored read() throws IOException;
}
