package dappleseam.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Parses JSON text into a tree. Jackson's ObjectMapper is not used because setting it up adds a tenth of a second to each start. */
public final class Json {
    private static final JsonFactory PARSERS = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() {}

    /** Parses the text into a tree; the parser bounds nesting and lengths. */
    public static JsonNode read(byte[] text) throws IOException {
        try (JsonParser parser = PARSERS.createParser(text)) {
            parser.nextToken();
            return value(parser);
        }
    }

    /** A streaming parser with the same bounds. */
    public static JsonParser parser(byte[] text) throws IOException {
        return PARSERS.createParser(text);
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            return NODES.missingNode();
        }
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> NODES.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(token == JsonToken.VALUE_TRUE);
            default -> NODES.nullNode();
        };
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser));
        }
        return object;
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
        }
        return array;
    }
}
