package dappleseam.list;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.router.Member;
import dappleseam.router.NodeId;
import dappleseam.wire.Address;
import dappleseam.wire.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the list service's JSON: members for the router, and the addresses to connect to. */
public final class ListReader {
    /** Maximum number of cached addresses: enough for a large fleet, whose lists repeat them. */
    private static final int MAX_CACHED_ADDRESSES = 4096;

    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final List<String> modelNames;
    private final Map<String, Integer> zones = new HashMap<>();

    /** Takes the names of the node models and of the zones, in the order of their indexes. */
    public ListReader(List<String> modelNames, List<String> zones) {
        this.modelNames = modelNames;
        zones.forEach(zone -> this.zones.put(zone, this.zones.size()));
    }

    /** Reads the JSON text without building a tree, as the list of a large fleet has thousands of entries. */
    public NodeList read(byte[] json) throws IOException {
        try (JsonParser parser = Json.parser(json)) {
            return list(parser);
        } catch (JsonProcessingException e) {
            throw new IOException("list: not JSON: " + e.getOriginalMessage());
        }
    }

    /** Reads a list that is already parsed. */
    public NodeList read(JsonNode list) throws IOException {
        try (JsonParser parser = list.traverse()) {
            return list(parser);
        }
    }

    private NodeList list(JsonParser parser) throws IOException {
        Long version = null;
        boolean full = false;
        List<ListEntry> entries = null;
        parser.nextToken();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            if (key.equals("rev") && value == JsonToken.VALUE_NUMBER_INT) {
                version = parser.getLongValue();
            } else if (key.equals("all")) {
                full = parser.getValueAsBoolean();
            } else if (key.equals("targets") && value == JsonToken.START_ARRAY) {
                entries = entries(parser);
            }
            parser.skipChildren(); // skips unknown keys and values of an unexpected type
        }
        if (version == null || entries == null) {
            throw new IOException("list: rev or targets is missing");
        }
        return new NodeList(version, full, entries);
    }

    private List<ListEntry> entries(JsonParser parser) throws IOException {
        List<ListEntry> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            entries.add(entry(parser));
        }
        return entries;
    }

    /** The known fields of one entry. */
    private static final class EntryFields {
        String uid = "";
        String endpoint = "";
        String zone = "";
        String modelName = "";
        String state = "";
        int group;
        double weight = 1;
        double bootMs;

        void read(String key, JsonParser value) throws IOException {
            switch (key) {
                case "uid" -> uid = value.getValueAsString("");
                case "endpoint" -> endpoint = value.getValueAsString("");
                case "az" -> zone = value.getValueAsString("");
                case "model" -> modelName = value.getValueAsString("");
                case "state" -> state = value.getValueAsString("");
                case "pod_group" -> group = value.getValueAsInt();
                case "capacity_hint" -> weight = value.getValueAsDouble(1);
                case "boot_ms" -> bootMs = value.getValueAsDouble();
                default -> { } // unknown keys are ignored, as new ones may be added
            }
        }
    }

    private ListEntry entry(JsonParser parser) throws IOException {
        EntryFields fields = new EntryFields();
        while (parser.currentToken() != JsonToken.END_OBJECT && parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            if (value.isScalarValue() && value != JsonToken.VALUE_NULL) {
                fields.read(key, parser);
            }
            parser.skipChildren();
        }
        if (fields.uid.isEmpty()) {
            throw new IOException("list: an entry without uid");
        }
        Member.State state = switch (fields.state) {
            case "ready" -> Member.State.READY;
            case "draining" -> Member.State.DRAINING;
            default -> Member.State.GONE;
        };
        int zone = zones.computeIfAbsent(fields.zone, z -> zones.size());
        Member member = new Member(new NodeId(hash(fields.uid)), state, modelNames.indexOf(fields.modelName), fields.group, zone, fields.weight, fields.bootMs);
        return new ListEntry(fields.uid, member, address(fields.endpoint), fields.zone, fields.modelName);
    }

    /** The parsed address; null for an empty one, as nodes that are gone need none. */
    private InetSocketAddress address(String text) throws IOException {
        InetSocketAddress known = addresses.get(text);
        if (known != null || text.isEmpty()) {
            return known;
        }
        try {
            InetSocketAddress address = Address.parse(text);
            if (addresses.size() >= MAX_CACHED_ADDRESSES) {
                addresses.clear();
            }
            addresses.put(text, address);
            return address;
        } catch (IllegalArgumentException e) {
            throw new IOException("list: endpoint: " + e.getMessage());
        }
    }

    /** Hash (FNV-1a) of a node's uid, which identifies the node at all proxies; its address may differ between them. */
    public static long hash(String uid) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < uid.length(); i++) {
            hash = (hash ^ uid.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
