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

/** Reads the list service's JSON, for the router and for who dials. */
public final class ListReader {
    /** Addresses remembered: those of a large fleet, whose list names them again and again. */
    private static final int MOST_ADDRESSES = 4096;

    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final List<String> machines;
    private final Map<String, Integer> zones = new HashMap<>();

    /** The names of the kinds of machine and of the zones, in the order in which they are numbered. */
    public ListReader(List<String> machines, List<String> zones) {
        this.machines = machines;
        zones.forEach(zone -> this.zones.put(zone, this.zones.size()));
    }

    /** As it came, without a tree of it: the list of a large fleet has thousands of entries. */
    public NodeList read(byte[] json) throws IOException {
        try (JsonParser parser = Json.parser(json)) {
            return list(parser);
        } catch (JsonProcessingException e) {
            throw new IOException("list: not JSON: " + e.getOriginalMessage());
        }
    }

    public NodeList read(JsonNode list) throws IOException {
        try (JsonParser parser = list.traverse()) {
            return list(parser);
        }
    }

    private NodeList list(JsonParser parser) throws IOException {
        Long version = null;
        boolean whole = false;
        List<ListEntry> entries = null;
        parser.nextToken();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            if (key.equals("rev") && value == JsonToken.VALUE_NUMBER_INT) {
                version = parser.getLongValue();
            } else if (key.equals("all")) {
                whole = parser.getValueAsBoolean();
            } else if (key.equals("targets") && value == JsonToken.START_ARRAY) {
                entries = entries(parser);
            }
            parser.skipChildren(); // what is not known, or is not what it should be
        }
        if (version == null || entries == null) {
            throw new IOException("list: lacks rev or targets");
        }
        return new NodeList(version, whole, entries);
    }

    private List<ListEntry> entries(JsonParser parser) throws IOException {
        List<ListEntry> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            entries.add(entry(parser));
        }
        return entries;
    }

    /** The fields of one entry, as far as they are known. */
    private static final class Fields {
        String uid = "";
        String endpoint = "";
        String zone = "";
        String machine = "";
        String state = "";
        int group;
        double scale = 1;
        double bootMs;

        void read(String key, JsonParser value) throws IOException {
            switch (key) {
                case "uid" -> uid = value.getValueAsString("");
                case "endpoint" -> endpoint = value.getValueAsString("");
                case "az" -> zone = value.getValueAsString("");
                case "model" -> machine = value.getValueAsString("");
                case "state" -> state = value.getValueAsString("");
                case "pod_group" -> group = value.getValueAsInt();
                case "capacity_hint" -> scale = value.getValueAsDouble(1);
                case "boot_ms" -> bootMs = value.getValueAsDouble();
                default -> { } // new keys may appear
            }
        }
    }

    private ListEntry entry(JsonParser parser) throws IOException {
        Fields fields = new Fields();
        while (parser.currentToken() != JsonToken.END_OBJECT && parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            if (value.isScalarValue() && value != JsonToken.VALUE_NULL) {
                fields.read(key, parser);
            }
            parser.skipChildren();
        }
        if (fields.uid.isEmpty()) {
            throw new IOException("list: an entry lacks uid");
        }
        Member.State state = switch (fields.state) {
            case "ready" -> Member.State.READY;
            case "draining" -> Member.State.DRAINING;
            default -> Member.State.GONE;
        };
        int zone = zones.computeIfAbsent(fields.zone, z -> zones.size());
        Member member = new Member(new NodeId(hash(fields.uid)), state, machines.indexOf(fields.machine), fields.group, zone, fields.scale, fields.bootMs);
        return new ListEntry(fields.uid, member, address(fields.endpoint), fields.zone, fields.machine);
    }

    /** What is gone needs no address. */
    private InetSocketAddress address(String text) throws IOException {
        InetSocketAddress known = addresses.get(text);
        if (known != null || text.isEmpty()) {
            return known;
        }
        try {
            InetSocketAddress address = Address.parse(text);
            if (addresses.size() >= MOST_ADDRESSES) {
                addresses.clear();
            }
            addresses.put(text, address);
            return address;
        } catch (IllegalArgumentException e) {
            throw new IOException("list: endpoint is " + e.getMessage());
        }
    }

    /** FNV-1a: the same at every proxy, which the address is not. */
    public static long hash(String uid) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < uid.length(); i++) {
            hash = (hash ^ uid.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
