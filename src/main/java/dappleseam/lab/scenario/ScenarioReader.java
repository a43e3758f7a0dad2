package dappleseam.lab.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dappleseam.fleet.share.FleetFeatures;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.Fault;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.How;
import dappleseam.lab.scenario.Scenario.Kind;
import dappleseam.lab.scenario.Scenario.Load;
import dappleseam.lab.scenario.Scenario.Origin;
import dappleseam.lab.scenario.Scenario.Repeat;
import dappleseam.lab.scenario.Scenario.Trouble;
import dappleseam.lab.scenario.Scenario.Way;
import dappleseam.lab.scenario.Scenario.Where;
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
    public static Scenario read(String json, String what) {
        Keys top = top(json, what);
        Scenario scenario = scenario(top);
        top.noMore();
        return scenario;
    }

    private static Keys top(String json, String what) {
        try {
            return new Keys(new ObjectMapper().readTree(json), "");
        } catch (JsonProcessingException e) {
            throw new FaultyScenarioException(what, "is not JSON: " + e.getOriginalMessage());
        }
    }

    /** Reads a scenario of many proxies, which has an object {@code fleet} in addition. */
    public static FleetScenario readFleet(Path file) throws IOException {
        return readFleet(Files.readString(file), file.getFileName().toString());
    }

    public static FleetScenario readFleet(String json, String what) {
        Keys top = top(json, what);
        Scenario scenario = scenario(top);
        Keys fleet = top.part("fleet");
        int proxies = (int) fleet.number("proxies", 2, 400);
        FleetScenario read = new FleetScenario(scenario, proxies, (int) fleet.number("memory_mb", 32, 1024), fleet.number("period_ms", 20, 60_000),
                fleet.number("settle_s", 1, 600), fleet.option("list_pushed"), new FleetFeatures(fleet.option("signals"), fleet.option("shares"), fleet.option("turns"), fleet.option("subsets")), fleet.has("leases") ? leases(fleet.part("leases")) : null,
                fleet.list("links").stream().map(keys -> link(keys, proxies)).toList(),
                fleet.list("processes").stream().map(keys -> event(keys, proxies)).toList());
        List.of(top, fleet).forEach(Keys::noMore);
        return read;
    }

    private static FleetScenario.Leases leases(Keys keys) {
        FleetScenario.Leases leases = new FleetScenario.Leases(keys.number("lease_ms", 500, 600_000), keys.number("store_late_ms", 0, 600_000), keys.flag("disks"),
                keys.list("takeovers").stream().map(ScenarioReader::takeover).toList());
        keys.noMore();
        return leases;
    }

    private static FleetScenario.Takeover takeover(Keys keys) {
        FleetScenario.Takeover takeover = new FleetScenario.Takeover(keys.oneOf("blow", FleetScenario.Blow.class), keys.number("at_s", 0, 3600),
                keys.number("every_s", 1, 3600), (int) keys.number("times", 1, 1000), keys.number("for_s", 0, 3600));
        keys.noMore();
        return takeover;
    }

    private static FleetScenario.LinkFault link(Keys keys, int proxies) {
        FleetScenario.LinkFault fault = new FleetScenario.LinkFault(keys.number("at_s", 0, 3600), keys.number("for_s", 0, 3600),
                keys.oneOf("how", FleetScenario.LinkHow.class), keys.numbers("from", proxies - 1), keys.numbers("to", proxies - 1),
                keys.number("size", 0, 60_000));
        keys.noMore();
        return fault;
    }

    private static FleetScenario.ProcessEvent event(Keys keys, int proxies) {
        FleetScenario.ProcessEvent event = new FleetScenario.ProcessEvent(keys.number("at_s", 0, 3600), keys.number("for_s", 0, 3600),
                keys.oneOf("kind", FleetScenario.ProcessKind.class), keys.numbers("proxies", proxies - 1));
        keys.noMore();
        return event;
    }

    private static Scenario scenario(Keys top) {
        Keys caches = top.part("caches");
        Keys origin = top.part("origin");
        Keys load = top.part("load");
        List<Grade> grades = load.list("grades").stream().map(ScenarioReader::grade).toList();
        if (grades.isEmpty()) {
            throw new FaultyScenarioException("load.grades", "is empty");
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
                top.list("troubles").stream().map(t -> trouble(t, c.count())).toList(),
                top.list("faults").stream().map(ScenarioReader::fault).toList());
        List.of(caches, origin, load).forEach(Keys::noMore);
        return scenario;
    }

    private static Grade grade(Keys keys) {
        Grade grade = new Grade(keys.text("name"), keys.number("share", 0, 1), keys.oneOf("repeat", Repeat.class),
                keys.flag("write"), keys.number("slo_ms", 1, 600_000), keys.number("timeout_ms", 1, 600_000),
                (int) keys.number("retries", 0, 10), keys.number("leave_share", 0, 1));
        keys.noMore();
        return grade;
    }

    private static Trouble trouble(Keys keys, int caches) {
        Trouble trouble = new Trouble(keys.number("at_s", 0, 3600), keys.oneOf("kind", Kind.class),
                (int) keys.number("cache", 0, caches - 1), keys.number("for_s", 0, 3600), keys.number("size", 0, 1000));
        keys.noMore();
        return trouble;
    }

    private static Fault fault(Keys keys) {
        Fault fault = new Fault(keys.oneOf("where", Where.class), keys.oneOf("way", Way.class), keys.oneOf("how", How.class),
                keys.number("share", 0, 1), (int) keys.number("within_bytes", 1, 1 << 30), keys.number("size", 0, 1 << 20));
        keys.noMore();
        return fault;
    }

    /** A JSON object of the file with its path for messages; it notes which keys were read, so that unknown ones can be rejected. */
    private static final class Keys {
        private final JsonNode node;
        private final String at;
        private final Set<String> read = new HashSet<>();

        Keys(JsonNode node, String at) {
            if (node == null || !node.isObject()) {
                throw new FaultyScenarioException(at.isEmpty() ? "scenario" : at.substring(0, at.length() - 1), "is not an object");
            }
            this.node = node;
            this.at = at;
        }

        private JsonNode need(String name) {
            read.add(name);
            JsonNode found = node.get(name);
            if (found == null || found.isNull()) {
                throw new FaultyScenarioException(at + name, "is missing");
            }
            return found;
        }

        boolean has(String name) {
            read.add(name);
            return node.has(name);
        }

        Keys part(String name) {
            return new Keys(need(name), at + name + ".");
        }

        List<Keys> list(String name) {
            JsonNode found = need(name);
            if (!found.isArray()) {
                throw new FaultyScenarioException(at + name, "is not a list");
            }
            List<Keys> parts = new ArrayList<>();
            for (JsonNode part : found) {
                parts.add(new Keys(part, at + name + "[" + parts.size() + "]."));
            }
            return parts;
        }

        double number(String name, double least, double most) {
            JsonNode found = need(name);
            if (!found.isNumber() || found.asDouble() < least || found.asDouble() > most) {
                throw new FaultyScenarioException(at + name, "is not a number from " + least + " to " + most);
            }
            return found.asDouble();
        }

        /** Whole numbers from 0 to {@code max}. */
        Set<Integer> numbers(String name, int most) {
            JsonNode found = need(name);
            Set<Integer> numbers = new TreeSet<>();
            for (JsonNode one : found) {
                if (!one.isInt() || one.asInt() < 0 || one.asInt() > most) {
                    throw new FaultyScenarioException(at + name, "holds something other than numbers from 0 to " + most);
                }
                numbers.add(one.asInt());
            }
            if (!found.isArray()) {
                throw new FaultyScenarioException(at + name, "is not a list");
            }
            return numbers;
        }

        String text(String name) {
            JsonNode found = need(name);
            if (!found.isTextual() || !found.asText().matches("[A-Za-z0-9._-]{1,64}")) {
                throw new FaultyScenarioException(at + name, "is not a name of 1 to 64 letters, digits, dots, underscores and hyphens");
            }
            return found.asText();
        }

        /** A flag that is false when it is left out. */
        boolean option(String name) {
            return has(name) && flag(name);
        }

        boolean flag(String name) {
            JsonNode found = need(name);
            if (!found.isBoolean()) {
                throw new FaultyScenarioException(at + name, "is neither true nor false");
            }
            return found.asBoolean();
        }

        <E extends Enum<E>> E oneOf(String name, Class<E> kind) {
            String text = need(name).asText();
            for (E one : kind.getEnumConstants()) {
                if (one.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return one;
                }
            }
            throw new FaultyScenarioException(at + name, "is not known: " + text);
        }

        void noMore() {
            node.fieldNames().forEachRemaining(name -> {
                if (!read.contains(name)) {
                    throw new FaultyScenarioException(at + name, "is not known");
                }
            });
        }
    }
}
