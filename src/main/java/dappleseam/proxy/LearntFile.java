package dappleseam.proxy;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.list.SealedFile;
import dappleseam.router.Learnt;
import dappleseam.router.NodeId;
import dappleseam.site.Site;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Node health that one process saves for the next: optional, and valid for a short time only. */
final class LearntFile {
    /** Version of the format and of the figures' meaning; files of another version are ignored. */
    private static final String VERSION = "dappleseam-learnt-2";
    /** Age in ms from which a file is ignored: longer than a restart, shorter than most outages. */
    private static final double OLDEST_MS = 10_000;
    /** Maximum number of nodes saved or read. */
    private static final int MOST = 4096;
    /** Largest weight that is accepted. */
    private static final double LARGEST_SCALE = 1e6;

    private LearntFile() {}

    /** Writes the file. {@code nowMs} and the times in it are of the machine's monotonic clock, which the next process shares; start times are those of the list. */
    static void write(Path file, Site site, double nowMs, List<Learnt> learnt) throws IOException {
        SealedFile.write(file, VERSION, json -> write(json, site, nowMs, learnt));
    }

    private static void write(JsonGenerator json, Site site, double nowMs, List<Learnt> learnt) throws IOException {
        json.writeStartObject();
        json.writeStringField("deployment", deployment(site));
        json.writeNumberField("at", nowMs);
        json.writeArrayFieldStart("nodes");
        for (Learnt one : learnt.subList(0, Math.min(MOST, learnt.size()))) {
            json.writeStartObject();
            json.writeStringField("node", Long.toHexString(one.node().value()));
            json.writeNumberField("started", one.startedAtMs());
            json.writeNumberField("aside", one.asideUntilMs());
            json.writeNumberField("busy", one.busyUntilMs());
            json.writeNumberField("idle", one.idleScale());
            json.writeNumberField("shed", one.shed());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Reads the usable entries, leaving out invalid ones; throws if the file as a whole cannot be used. */
    static List<Learnt> read(Path file, Site site, double nowMs) throws IOException {
        JsonNode root = SealedFile.read(file, VERSION);
        double at = root.path("at").asDouble(Double.NaN);
        if (!root.path("deployment").asText().equals(deployment(site))) {
            throw new IOException("saved under other settings");
        }
        if (!(at <= nowMs && at > nowMs - OLDEST_MS)) {
            throw new IOException(at > nowMs ? "saved in the future" : "too old");
        }
        List<Learnt> learnt = new ArrayList<>();
        for (JsonNode one : root.path("nodes")) {
            if (learnt.size() < MOST && isSound(one)) {
                learnt.add(new Learnt(new NodeId(Long.parseUnsignedLong(one.path("node").asText(), 16)),
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

    /** Node ids and weights keep their meaning as long as models and locations are the same; grades and limits may differ. */
    private static String deployment(Site site) {
        return String.join(",", site.machines()) + ';' + String.join(",", site.zones());
    }
}
