package dappleseam.fleet.lastlist;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.fleet.lease.Token;
import dappleseam.list.ListFile;
import dappleseam.list.NodeList;
import java.io.IOException;

/** Stores the fleet's last known list and refuses writes with a token older than the stored one. */
public interface ListStore {
    /**
     * The stored object. {@code number}: counts the writes with this token; {@code writtenAtMs}: the writer's wall clock;
     * {@code list}: in the format of the list service.
     */
    record Stored(Token token, long number, double writtenAtMs, JsonNode list) {
        /** Whether a write with that token and number comes after this one. Delayed older writes do not. */
        public boolean isBefore(Token other, long otherNumber) {
            return token.isBelow(other) || token.equals(other) && number < otherNumber;
        }

        /**
         * Parses what {@link ListStore#write(JsonGenerator, Token, long, double, NodeList)} wrote; throws
         * {@link IllegalArgumentException} for anything else.
         */
        public static Stored of(JsonNode root) {
            if (!root.path("token").path(1).isIntegralNumber() || !root.path("list").isObject()) {
                throw new IllegalArgumentException("token or list is missing");
            }
            return new Stored(new Token(root.path("token").path(0).asLong(), root.path("token").path(1).asLong()), root.path("number").asLong(),
                    root.path("written_ms").asDouble(), root.path("list"));
        }
    }

    /** Writes the stored form, a JSON object. */
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

    /** Thrown if a later holder has written, or this holder with a later number. */
    final class FencedException extends IOException {
        private static final long serialVersionUID = 1L;
        private final transient Token latestToken;

        public FencedException(Token latestToken) {
            super("the store holds a later write with token " + latestToken.text());
            this.latestToken = latestToken;
        }

        public Token latestToken() {
            return latestToken;
        }
    }

    /** Returns once the list is stored durably. {@code number}: incremented with each write with the same token. */
    void write(Token token, long number, double nowMs, NodeList list) throws IOException;

    /** Reads the stored list; throws if there is none or it cannot be read. */
    Stored read() throws IOException;
}
