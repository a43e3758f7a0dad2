package dappleseam.list;

import com.fasterxml.jackson.core.JsonProcessingException;
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
    private final List<String> machines;
    private final Map<String, Integer> zones = new HashMap<>();

    /** The names of the kinds of machine and of the zones, in the order in which they are numbered. */
    public ListReader(List<String> machines, List<String> zones) {
        this.machines = machines;
        zones.forEach(zone -> this.zones.put(zone, this.zones.size()));
    }

    public NodeList read(byte[] json) throws IOException {
        try {
            return read(Json.read(json));
        } catch (JsonProcessingException e) {
            throw new IOException("list: not JSON: " + e.getOriginalMessage());
        }
    }

    public NodeList read(JsonNode list) throws IOException {
        if (!list.path("targets").isArray() || !list.path("rev").isIntegralNumber()) {
            throw new IOException("list: lacks rev or targets");
        }
        List<Listed> entries = new ArrayList<>();
        for (JsonNode entry : list.path("targets")) {
            entries.add(entry(entry));
        }
        return new NodeList(list.path("rev").asLong(), list.path("all").asBoolean(), entries);
    }

    private Listed entry(JsonNode entry) throws IOException {
        String uid = entry.path("uid").asText();
        if (uid.isEmpty()) {
            throw new IOException("list: an entry lacks uid");
        }
        Member.State state = switch (entry.path("state").asText()) {
            case "ready" -> Member.State.READY;
            case "draining" -> Member.State.DRAINING;
            default -> Member.State.GONE;
        };
        String zone = entry.path("az").asText();
        int machine = machines.indexOf(entry.path("model").asText());
        return new Listed(uid, new Member(new NodeId(hash(uid)), state, machine,
                entry.path("pod_group").asInt(), zones.computeIfAbsent(zone, z -> zones.size()),
                entry.path("capacity_hint").asDouble(1), entry.path("boot_ms").asDouble()),
                address(entry.path("endpoint").asText()), zone, entry.path("model").asText());
    }

    /** What is gone needs no address. */
    private static InetSocketAddress address(String text) throws IOException {
        try {
            return text.isEmpty() ? null : Address.parse(text);
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
