package dappleseam.site;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.router.RouterSettings;
import dappleseam.router.ServiceGrade;
import dappleseam.wire.Address;
import dappleseam.wire.Json;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and validates the configuration and the settings of a deployment, and applies defaults. */
public final class ConfigReader {
    private static final Logger LOG = System.getLogger(ConfigReader.class.getName());
    /** Known values of {@code weightSource}, the origin of the list's weights; the last two mean that there are none. */
    private static final List<String> WEIGHT_SOURCES = List.of("nominal", "rough", "live", "off", "");
    private static final double MS_PER_S = 1000;
    /** Default limit of file descriptors: what systems usually allow. */
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int MIN_DESCRIPTORS = 96;
    /** Default memory limit in MB; the launcher uses the same default. */
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int MIN_MEMORY_MB = 16;

    /** Default for the multiple of its capacity at which a cold node fails: the most common value. */
    private static final double DEFAULT_FALL_MULTIPLE = 3;

    /** The last configuration that was accepted; null before the first. */
    private JsonNode current;

    /** Reads the configuration of a proxy. When it is read again, no key of the previous one may be missing. */
    public synchronized ProxyConfig readConfig(Path file) throws IOException {
        JsonNode root = parse(Files.readAllBytes(file), file.getFileName().toString());
        ProxyConfig config = config(root);
        if (current != null) {
            requireAll(current, root, "");
        }
        current = root;
        return config;
    }

    /** Protects a running proxy from a file that was truncated or edited such that keys are missing though it is still valid JSON. */
    private static void requireAll(JsonNode before, JsonNode now, String at) {
        before.fields().forEachRemaining(field -> {
            JsonNode found = require(now, at, field.getKey());
            if (field.getValue().isObject() && !field.getKey().equals("known")) {
                requireAll(field.getValue(), found, at + field.getKey() + ".");
            } else if (field.getKey().equals("serviceGrades")) {
                requireGradeKeys(field.getValue(), found, at);
            }
        });
    }

    /** The same for service grades, which may come and go: one that keeps its name and its effect keeps its keys. */
    private static void requireGradeKeys(JsonNode before, JsonNode now, String at) {
        for (int i = 0; i < now.size(); i++) {
            JsonNode grade = now.get(i);
            String inGrade = at + "serviceGrades[" + i + "].";
            for (JsonNode earlier : before) {
                if (isSame(earlier, grade, "name") && isSame(earlier, grade, "semantics")) {
                    requireAll(earlier, grade, inGrade);
                }
            }
        }
    }

    private static boolean isSame(JsonNode one, JsonNode other, String key) {
        return one.path(key).equals(other.path(key));
    }

    private static ProxyConfig config(JsonNode root) {
        int descriptors = limit(root, "sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS);
        int memoryMb = limit(root, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
        return new ProxyConfig(root.path("name").asText("proxy"), address(root, "listen"), control(root),
                address(root, "discovery"), seed(root), descriptors, memoryMb, root.path("known"),
                settings(require(root, "", "settings"), "settings."));
    }

    private static int limit(JsonNode root, String name, int defaultValue, int min) {
        int limit = (int) number(root.path("limits"), "limits.", name, defaultValue);
        if (limit < min) {
            throw new InvalidConfigException("limits." + name, "is less than " + min);
        }
        return limit;
    }

    /** Reads the settings alone, from their JSON text. */
    public Settings readSettings(byte[] json) {
        return settings(parse(json, "settings"), "");
    }

    private static JsonNode parse(byte[] json, String what) {
        try {
            JsonNode root = Json.read(json);
            if (!root.isObject()) {
                throw new InvalidConfigException(what, "is not a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(what, "is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidConfigException(what, "cannot be read: " + e.getMessage());
        }
    }

    private static Settings settings(JsonNode root, String at) {
        JsonNode ceilings = require(root, at, "ceilings");
        JsonNode rules = require(root, at, "rules");
        JsonNode penalties = root.path("penalties");
        JsonNode extra = root.path("extra");
        String inCeilings = at + "ceilings.";
        List<ServiceGrade> grades = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (JsonNode grade : require(root, at, "serviceGrades")) {
            String inGrade = at + "serviceGrades[" + grades.size() + "].";
            grades.add(grade(grade, inGrade));
            String name = require(grade, inGrade, "name").asText();
            if (name.isEmpty() || names.contains(name)) {
                throw new InvalidConfigException(inGrade + "name", name.isEmpty() ? "is empty" : "is used twice: " + name);
            }
            names.add(name);
        }
        if (grades.isEmpty()) {
            throw new InvalidConfigException(at + "serviceGrades", "is empty");
        }
        boolean retryAfter = ceilings.path("retryAfter").asBoolean();
        boolean onRequest = root.path("membershipMode").asText().equals("on_request");
        String weightSource = root.path("weightSource").asText();
        if (!WEIGHT_SOURCES.contains(weightSource)) {
            LOG.log(Level.WARNING, "{0}weightSource: {1} is not known, so all nodes count alike", at, weightSource);
        }
        RouterSettings routerSettings = new RouterSettings(
                List.copyOf(grades),
                Math.max(1, root.path("balancers").asInt(1)),
                originModel(extra, root.path("flavors").size(), at + "extra."),
                weightSource.equals("nominal") || weightSource.equals("rough"),
                weightSource.equals("live"),
                zone(root, at),
                number(penalties, at + "penalties.", "crossZone", 0),
                MS_PER_S * number(root, at, "tickS", 0),
                (int) Math.ceil(positive(ceilings, inCeilings, "mostExecutions")),
                ceilings.path("parallelTries").asBoolean(),
                ceilings.path("mayCancel").asBoolean(),
                retryAfter ? MS_PER_S * number(ceilings, inCeilings, "maxRetryAfterS", 0) : 0,
                onRequest ? MS_PER_S * number(rules, at + "rules.", "askEveryS") : 0,
                share(rules, at + "rules.", "coldFrom"),
                MS_PER_S * number(rules, at + "rules.", "warmAfterS"),
                fallMultiple(rules, at + "rules."),
                number(penalties, at + "penalties.", "connection", 0),
                number(penalties, at + "penalties.", "handshake", 0));
        return new Settings(routerSettings, List.copyOf(names), names(root.path("flavors")), names(root.path("dcs")),
                Math.max(1, (int) number(ceilings, inCeilings, "streamsPerConn", 1)),
                ceilings.path("probing").asBoolean(),
                MS_PER_S * number(ceilings, inCeilings, "idleCloseS", 60),
                MS_PER_S * number(ceilings, inCeilings, "connectTimeoutS", 1),
                (int) number(ceilings, inCeilings, "mostHeld", Integer.MAX_VALUE));
    }

    /** The index of the origin in {@code flavors} for cache-aside; -1 where nodes fetch by themselves (read-through). */
    private static int originModel(JsonNode extra, int flavors, String at) {
        if (!extra.path("mode").asText().equals("aside")) {
            return -1;
        }
        double kind = number(extra, at, "originKind");
        if (kind != Math.rint(kind) || kind >= flavors) {
            throw new InvalidConfigException(at + "originKind", "is not an index into flavors");
        }
        return (int) kind;
    }

    private static double share(JsonNode node, String at, String name) {
        double share = number(node, at, name);
        if (share > 1) {
            throw new InvalidConfigException(at + name, "is greater than 1");
        }
        return share;
    }

    /** 0 means no limit. */
    private static double fallMultiple(JsonNode rules, String at) {
        double multiple = number(rules, at, "fallMultiple", DEFAULT_FALL_MULTIPLE);
        return multiple == 0 ? Double.POSITIVE_INFINITY : multiple;
    }

    /** Index of the proxy's own zone in {@code dcs}; -1 if it is not given. */
    private static int zone(JsonNode root, String at) {
        double zone = number(root, at, "zone", -1);
        if (zone != Math.rint(zone)) {
            throw new InvalidConfigException(at + "zone", "is not an integer");
        }
        return (int) zone;
    }

    private static ServiceGrade grade(JsonNode grade, String at) {
        return new ServiceGrade(
                switch (require(grade, at, "semantics").asText()) {
                    case "read_like" -> ServiceGrade.Semantics.IDEMPOTENT;
                    case "idempotency_key" -> ServiceGrade.Semantics.DEDUPLICATED;
                    case "non_idempotent" -> ServiceGrade.Semantics.NON_IDEMPOTENT;
                    default -> throw new InvalidConfigException(at + "semantics", "is not one of read_like, idempotency_key"
                            + " and non_idempotent");
                },
                switch (grade.path("group").asText()) {
                    case "all" -> ServiceGrade.DedupScope.ALL;
                    case "zone" -> ServiceGrade.DedupScope.ZONE;
                    default -> ServiceGrade.DedupScope.CELL;
                },
                MS_PER_S * number(grade, at, "windowS", 0),
                MS_PER_S * positive(grade, at, "sloTimeS"),
                MS_PER_S * positive(grade, at, "statementTimeoutS"),
                number(grade, at, "importance", 1),
                number(grade, at, "tardyImportance", 0),
                grade.path("stream").asBoolean());
    }

    private static List<String> names(JsonNode array) {
        List<String> names = new ArrayList<>();
        array.forEach(name -> names.add(name.asText()));
        return List.copyOf(names);
    }

    private static JsonNode require(JsonNode node, String at, String name) {
        JsonNode found = node.get(name);
        if (found == null || found.isNull()) {
            throw new InvalidConfigException(at + name, "is missing");
        }
        return found;
    }

    private static double number(JsonNode node, String at, String name) {
        JsonNode found = require(node, at, name);
        if (!found.isNumber() || found.asDouble() < 0) {
            throw new InvalidConfigException(at + name, "is not a number of at least 0");
        }
        return found.asDouble();
    }

    private static double positive(JsonNode node, String at, String name) {
        double number = number(node, at, name);
        if (number <= 0) {
            throw new InvalidConfigException(at + name, "is not greater than 0");
        }
        return number;
    }

    private static double number(JsonNode node, String at, String name, double defaultValue) {
        return node.path(name).isMissingNode() || node.path(name).isNull() ? defaultValue : number(node, at, name);
    }

    private static InetSocketAddress address(JsonNode root, String name) {
        return address(name, require(root, "", name).asText());
    }

    private static InetSocketAddress address(String name, String text) {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(name, "is " + e.getMessage());
        }
    }

    /** The control address from the file, or else from the environment; null for no control port. */
    private static InetSocketAddress control(JsonNode root) {
        String fromEnvironment = System.getenv("NODE_CONTROL");
        if (!root.path("control").isMissingNode() && !root.path("control").isNull()) {
            return address(root, "control");
        }
        return fromEnvironment == null || fromEnvironment.isEmpty() ? null : address("control", fromEnvironment);
    }

    private static long seed(JsonNode root) {
        String digits = root.path("seed").asText("0");
        try {
            return Long.parseUnsignedLong(digits, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed", "is not 16 hexadecimal digits: " + digits);
        }
    }
}
