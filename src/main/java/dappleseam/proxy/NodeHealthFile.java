package dappleseam.proxy;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.list.ChecksummedFile;
import dappleseam.router.NodeHealth;
import dappleseam.router.NodeId;
import dappleseam.site.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Node health that one process saves for the next: optional, and valid for a short time only. */
final class NodeHealthFile {
    /** Version of the format and of the figures' meaning; files of another version are ignored. */
    private static final String VERSION = "dappleseam-learnt-2";
    /** Age in ms from which a file is ignored: longer than a restart, shorter than most outages. */
    private static final double MAX_AGE_MS = 10_000;
    /** Maximum number of nodes saved or read. */
    private static final int MAX_NODES = 4096;
    /** Largest weight that is accepted. */
    private static final double MAX_WEIGHT = 1e6;

    private NodeHealthFile() {}

    /** Writes the file. {@code nowMs} and the times in it are of the machine's monotonic clock, which the next process shares; start times are those of the list. */
    static void write(Path file, Settings settings, double nowMs, List<NodeHealth> nodes) throws IOException {
        ChecksummedFile.write(file, VERSION, json -> write(json, settings, nowMs, nodes));
    }

    private static void write(JsonGenerator json, Settings settings, double nowMs, List<NodeHealth> nodes) throws IOException {
        json.writeStartObject();
        json.writeStringField("deployment", deploymentKey(settings));
        json.writeNumberField("at", nowMs);
        json.writeArrayFieldStart("nodes");
        for (NodeHealth entry : nodes.subList(0, Math.min(MAX_NODES, nodes.size()))) {
            json.writeStartObject();
            json.writeStringField("node", Long.toHexString(entry.node().value()));
            json.writeNumberField("started", entry.startedAtMs());
            json.writeNumberField("aside", entry.ejectedUntilMs());
            json.writeNumberField("busy", entry.busyUntilMs());
            json.writeNumberField("idle", entry.idleWeight());
            json.writeNumberField("shed", entry.shedShare());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Reads the usable entries, leaving out invalid ones; throws if the file as a whole cannot be used. */
    static List<NodeHealth> read(Path file, Settings settings, double nowMs) throws IOException {
        JsonNode root = ChecksummedFile.read(file, VERSION);
        double at = root.path("at").asDouble(Double.NaN);
        if (!root.path("deployment").asText().equals(deploymentKey(settings))) {
            throw new IOException("saved under other settings");
        }
        if (!(at <= nowMs && at > nowMs - MAX_AGE_MS)) {
            throw new IOException(at > nowMs ? "saved in the future" : "too old");
        }
        List<NodeHealth> nodes = new ArrayList<>();
        for (JsonNode entry : root.path("nodes")) {
            if (nodes.size() < MAX_NODES && isValid(entry)) {
                nodes.add(new NodeHealth(new NodeId(Long.parseUnsignedLong(entry.path("node").asText(), 16)),
                        entry.path("started").asDouble(), entry.path("aside").asDouble(), entry.path("busy").asDouble(),
                        entry.path("idle").asDouble(), entry.path("shed").asDouble()));
            }
        }
        return nodes;
    }

    private static boolean isValid(JsonNode entry) {
        for (String name : new String[] {"started", "aside", "busy", "idle", "shed"}) {
            if (!entry.path(name).isNumber() || !(entry.path(name).asDouble() >= 0)) {
                return false;
            }
        }
        return entry.path("node").asText().matches("[0-9a-f]{1,16}") && entry.path("shed").asDouble() <= 1
                && entry.path("idle").asDouble() <= MAX_WEIGHT;
    }

    /** Node ids and weights keep their meaning as long as models and locations are the same; grades and limits may differ. */
    private static String deploymentKey(Settings settings) {
        return String.join(",", settings.modelNames()) + ';' + String.join(",", settings.zones());
    }
}
