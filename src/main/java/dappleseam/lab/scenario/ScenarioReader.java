package dappleseam.lab.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dappleseam.fleet.share.FleetFeatures;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.ConnectionFault;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.FaultEffect;
import dappleseam.lab.scenario.Scenario.IncidentKind;
import dappleseam.lab.scenario.Scenario.Load;
import dappleseam.lab.scenario.Scenario.Origin;
import dappleseam.lab.scenario.Scenario.Semantics;
import dappleseam.lab.scenario.Scenario.Incident;
import dappleseam.lab.scenario.Scenario.Direction;
import dappleseam.lab.scenario.Scenario.FaultLocation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/** Reads a scenario file and validates all of it before anything is started. */
public final class ScenarioReader {
    private ScenarioReader() {}

    public static Scenario read(Path file) throws IOException {
        return read(Files.readString(file), file.getFileName().toString());
    }

    /** {@code source}: names the file in messages. */
    public static Scenario read(String json, String source) {
        JsonObject top = top(json, source);
        Scenario scenario = scenario(top);
        top.rejectUnknownKeys();
        return scenario;
    }

    private static JsonObject top(String json, String source) {
        try {
            return new JsonObject(new ObjectMapper().readTree(json), "");
        } catch (JsonProcessingException e) {
            throw new InvalidScenarioException(source, "is not JSON: " + e.getOriginalMessage());
        }
    }

    /** Reads a scenario of many proxies, which has an object {@code fleet} in addition. */
    public static FleetScenario readFleet(Path file) throws IOException {
        return readFleet(Files.readString(file), file.getFileName().toString());
    }

    public static FleetScenario readFleet(String json, String source) {
        JsonObject top = top(json, source);
        Scenario scenario = scenario(top);
        JsonObject fleet = top.child("fleet");
        int proxies = (int) fleet.number("proxies", 2, 400);
        FleetScenario read = new FleetScenario(scenario, proxies, (int) fleet.number("memory_mb", 32, 1024), fleet.number("period_ms", 20, 60_000),
                fleet.number("settle_s", 1, 600), fleet.optionalFlag("list_pushed"), new FleetFeatures(fleet.optionalFlag("signals"), fleet.optionalFlag("shares"), fleet.optionalFlag("turns"), fleet.optionalFlag("subsets")), fleet.has("leases") ? leases(fleet.child("leases")) : null,
                fleet.list("links").stream().map(object -> link(object, proxies)).toList(),
                fleet.list("processes").stream().map(object -> event(object, proxies)).toList());
        List.of(top, fleet).forEach(JsonObject::rejectUnknownKeys);
        return read;
    }

    private static FleetScenario.Leases leases(JsonObject object) {
        FleetScenario.Leases leases = new FleetScenario.Leases(object.number("lease_ms", 500, 600_000), object.number("store_late_ms", 0, 600_000), object.flag("disks"),
                object.list("takeovers").stream().map(ScenarioReader::takeover).toList());
        object.rejectUnknownKeys();
        return leases;
    }

    private static FleetScenario.Takeover takeover(JsonObject object) {
        FleetScenario.Takeover takeover = new FleetScenario.Takeover(object.enumValue("blow", FleetScenario.Disruption.class), object.number("at_s", 0, 3600),
                object.number("every_s", 1, 3600), (int) object.number("times", 1, 1000), object.number("for_s", 0, 3600));
        object.rejectUnknownKeys();
        return takeover;
    }

    private static FleetScenario.LinkFault link(JsonObject object, int proxies) {
        FleetScenario.LinkFault fault = new FleetScenario.LinkFault(object.number("at_s", 0, 3600), object.number("for_s", 0, 3600),
                object.enumValue("how", FleetScenario.LinkEffect.class), object.indexes("from", proxies - 1), object.indexes("to", proxies - 1),
                object.number("size", 0, 60_000));
        object.rejectUnknownKeys();
        return fault;
    }

    private static FleetScenario.ProcessEvent event(JsonObject object, int proxies) {
        FleetScenario.ProcessEvent event = new FleetScenario.ProcessEvent(object.number("at_s", 0, 3600), object.number("for_s", 0, 3600),
                object.enumValue("kind", FleetScenario.ProcessEventKind.class), object.indexes("proxies", proxies - 1));
        object.rejectUnknownKeys();
        return event;
    }

    private static Scenario scenario(JsonObject top) {
        JsonObject caches = top.child("caches");
        JsonObject origin = top.child("origin");
        JsonObject load = top.child("load");
        List<Grade> grades = load.list("grades").stream().map(ScenarioReader::grade).toList();
        if (grades.isEmpty()) {
            throw new InvalidScenarioException("load.grades", "is empty");
        }
        Caches c = new Caches((int) caches.number("count", 1, 200), caches.number("work_ms", 0, 10_000),
                (int) caches.number("slots", 1, 1000), (int) caches.number("queue", 0, 10_000),
                (int) caches.number("connections", 1, 10_000), (int) caches.number("keys", 1, 1_000_000),
                caches.number("cold_from", 0.01, 1), caches.number("warm_s", 0, 600), caches.number("window_ms", 0, 60_000),
                (int) caches.number("value_bytes", 1, 4 << 20));
        Scenario scenario = new Scenario(top.text("name"), (long) top.number("seed", 0, 1L << 52),
                top.number("seconds", 0.5, 3600), c,
                new Origin(origin.number("work_ms", 0, 10_000), (int) origin.number("slots", 1, 1000)),
                new Load(load.number("per_second", 0.1, 20_000), (int) load.number("keys", 1, 10_000_000),
                        load.number("skew", 0, 3), grades),
                top.list("troubles").stream().map(t -> incident(t, c.count())).toList(),
                top.list("faults").stream().map(ScenarioReader::fault).toList());
        List.of(caches, origin, load).forEach(JsonObject::rejectUnknownKeys);
        return scenario;
    }

    private static Grade grade(JsonObject object) {
        Grade grade = new Grade(object.text("name"), object.number("share", 0, 1), object.enumValue("repeat", Semantics.class),
                object.flag("write"), object.number("slo_ms", 1, 600_000), object.number("timeout_ms", 1, 600_000),
                (int) object.number("retries", 0, 10), object.number("leave_share", 0, 1));
        object.rejectUnknownKeys();
        return grade;
    }

    private static Incident incident(JsonObject object, int caches) {
        Incident incident = new Incident(object.number("at_s", 0, 3600), object.enumValue("kind", IncidentKind.class),
                (int) object.number("cache", 0, caches - 1), object.number("for_s", 0, 3600), object.number("size", 0, 1000));
        object.rejectUnknownKeys();
        return incident;
    }

    private static ConnectionFault fault(JsonObject object) {
        ConnectionFault fault = new ConnectionFault(object.enumValue("where", FaultLocation.class), object.enumValue("way", Direction.class), object.enumValue("how", FaultEffect.class),
                object.number("share", 0, 1), (int) object.number("within_bytes", 1, 1 << 30), object.number("size", 0, 1 << 20));
        object.rejectUnknownKeys();
        return fault;
    }

    /** A JSON object of the file with its path for messages; it notes which keys were read, so that unknown ones can be rejected. */
    private static final class JsonObject {
        private final JsonNode node;
        private final String path;
        private final Set<String> readKeys = new HashSet<>();

        JsonObject(JsonNode node, String path) {
            if (node == null || !node.isObject()) {
                throw new InvalidScenarioException(path.isEmpty() ? "scenario" : path.substring(0, path.length() - 1), "is not an object");
            }
            this.node = node;
            this.path = path;
        }

        private JsonNode require(String name) {
            readKeys.add(name);
            JsonNode found = node.get(name);
            if (found == null || found.isNull()) {
                throw new InvalidScenarioException(path + name, "is missing");
            }
            return found;
        }

        boolean has(String name) {
            readKeys.add(name);
            return node.has(name);
        }

        JsonObject child(String name) {
            return new JsonObject(require(name), path + name + ".");
        }

        List<JsonObject> list(String name) {
            JsonNode found = require(name);
            if (!found.isArray()) {
                throw new InvalidScenarioException(path + name, "is not a list");
            }
            List<JsonObject> parts = new ArrayList<>();
            for (JsonNode part : found) {
                parts.add(new JsonObject(part, path + name + "[" + parts.size() + "]."));
            }
            return parts;
        }

        double number(String name, double min, double max) {
            JsonNode found = require(name);
            if (!found.isNumber() || found.asDouble() < min || found.asDouble() > max) {
                throw new InvalidScenarioException(path + name, "is not a number from " + min + " to " + max);
            }
            return found.asDouble();
        }

        /** Whole numbers from 0 to {@code max}. */
        Set<Integer> indexes(String name, int max) {
            JsonNode found = require(name);
            Set<Integer> indexes = new TreeSet<>();
            for (JsonNode one : found) {
                if (!one.isInt() || one.asInt() < 0 || one.asInt() > max) {
                    throw new InvalidScenarioException(path + name, "holds something other than numbers from 0 to " + max);
                }
                indexes.add(one.asInt());
            }
            if (!found.isArray()) {
                throw new InvalidScenarioException(path + name, "is not a list");
            }
            return indexes;
        }

        String text(String name) {
            JsonNode found = require(name);
            if (!found.isTextual() || !found.asText().matches("[A-Za-z0-9._-]{1,64}")) {
                throw new InvalidScenarioException(path + name, "is not a name of 1 to 64 letters, digits, dots, underscores and hyphens");
            }
            return found.asText();
        }

        /** A flag that is false when it is left out. */
        boolean optionalFlag(String name) {
            return has(name) && flag(name);
        }

        boolean flag(String name) {
            JsonNode found = require(name);
            if (!found.isBoolean()) {
                throw new InvalidScenarioException(path + name, "is neither true nor false");
            }
            return found.asBoolean();
        }

        <E extends Enum<E>> E enumValue(String name, Class<E> kind) {
            String text = require(name).asText();
            for (E one : kind.getEnumConstants()) {
                if (one.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return one;
                }
            }
            throw new InvalidScenarioException(path + name, "is not known: " + text);
        }

        void rejectUnknownKeys() {
            node.fieldNames().forEachRemaining(name -> {
                if (!readKeys.contains(name)) {
                    throw new InvalidScenarioException(path + name, "is not known");
                }
            });
        }
    }
}
