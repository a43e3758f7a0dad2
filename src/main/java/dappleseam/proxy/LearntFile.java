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

/** What one process has learnt of the nodes, kept for the one that comes after it: optional, and soon out of date. */
final class LearntFile {
    /** Of the format and of what its figures mean; another version passes it over. */
    private static final String VERSION = "dappleseam-learnt-2";
    /** Age in ms from which nothing in it is news any more: longer than a restart, shorter than most troubles. */
    private static final double OLDEST_MS = 10_000;
    /** Most nodes that are kept. */
    private static final int MOST = 4096;
    /** Largest scale that is believed. */
    private static final double LARGEST_SCALE = 1e6;

    private LearntFile() {}

    /** {@code nowMs} and the times in it are of the machine's monotonic clock, which the next process has, too; starts are as the list tells them. */
    static void write(Path file, Settings site, double nowMs, List<NodeHealth> learnt) throws IOException {
        ChecksummedFile.write(file, VERSION, json -> write(json, site, nowMs, learnt));
    }

    private static void write(JsonGenerator json, Settings site, double nowMs, List<NodeHealth> learnt) throws IOException {
        json.writeStartObject();
        json.writeStringField("deployment", deployment(site));
        json.writeNumberField("at", nowMs);
        json.writeArrayFieldStart("nodes");
        for (NodeHealth one : learnt.subList(0, Math.min(MOST, learnt.size()))) {
            json.writeStartObject();
            json.writeStringField("node", Long.toHexString(one.node().value()));
            json.writeNumberField("started", one.startedAtMs());
            json.writeNumberField("aside", one.ejectedUntilMs());
            json.writeNumberField("busy", one.busyUntilMs());
            json.writeNumberField("idle", one.idleWeight());
            json.writeNumberField("shed", one.shedShare());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** What can be used of it; an exception says why nothing can. An entry that is odd is left out alone. */
    static List<NodeHealth> read(Path file, Settings site, double nowMs) throws IOException {
        JsonNode root = ChecksummedFile.read(file, VERSION);
        double at = root.path("at").asDouble(Double.NaN);
        if (!root.path("deployment").asText().equals(deployment(site))) {
            throw new IOException("of another deployment");
        }
        if (!(at <= nowMs && at > nowMs - OLDEST_MS)) {
            throw new IOException(at > nowMs ? "from the future" : "too old");
        }
        List<NodeHealth> learnt = new ArrayList<>();
        for (JsonNode one : root.path("nodes")) {
            if (learnt.size() < MOST && isSound(one)) {
                learnt.add(new NodeHealth(new NodeId(Long.parseUnsignedLong(one.path("node").asText(), 16)),
                        one.path("started").asDouble(), one.path("aside").asDouble(), one.path("busy").asDouble(),
                        one.path("idle").asDouble(), one.path("shed").asDouble()));
            }
        }
        return learnt;
    }

    private static boolean isSound(JsonNode one) {
        for (String name : new String[] {"started", "aside", "busy", "idle", "shed"}) {
            if (!one.path(name).isNumber() || !(one.path(name).asDouble() >= 0)) {
                return false;
            }
        }
        return one.path("node").asText().matches("[0-9a-f]{1,16}") && one.path("shed").asDouble() <= 1
                && one.path("idle").asDouble() <= LARGEST_SCALE;
    }

    /** Nodes' ids and scales mean the same as long as machines and locations do; grades and limits may differ. */
    private static String deployment(Settings site) {
        return String.join(",", site.modelNames()) + ';' + String.join(",", site.zones());
    }
}
