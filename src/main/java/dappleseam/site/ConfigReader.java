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

/** The one place where what is given at start is read, checked and given defaults. */
public final class ConfigReader {
    private static final Logger LOG = System.getLogger(ConfigReader.class.getName());
    /** What {@code weightSource} may say of the list's scales; the last two are its absence. */
    private static final List<String> SCALES = List.of("nominal", "rough", "live", "off", "");
    private static final double MS_PER_S = 1000;
    /** Default of descriptors where no limit is told: what systems usually allow. */
    private static final int DESCRIPTORS = 1024;
    private static final int LEAST_DESCRIPTORS = 96;
    /** Default of memory in MB where no limit is told: what the launcher takes then, too. */
    private static final int MEMORY_MB = 192;
    private static final int LEAST_MEMORY_MB = 16;

    /** Multiple of what a cold node can take at which it falls, where the settings do not tell: of all pages' the usual. */
    private static final double FALL_MULTIPLE = 3;

    /** The file last taken; null before the first. */
    private JsonNode inForce;

    /** What a proxy is told, from its file; a file read again may lack nothing that the one before it had. */
    public synchronized ProxyConfig readConfig(Path file) throws IOException {
        JsonNode root = parse(Files.readAllBytes(file), file.getFileName().toString());
        ProxyConfig post = post(root);
        if (inForce != null) {
            needAll(inForce, root, "");
        }
        inForce = root;
        return post;
    }

    /** Guards a proxy in service against a file that lost some of its keys on its way and is still JSON. */
    private static void needAll(JsonNode before, JsonNode now, String at) {
        before.fields().forEachRemaining(field -> {
            JsonNode found = need(now, at, field.getKey());
            if (field.getValue().isObject() && !field.getKey().equals("known")) {
                needAll(field.getValue(), found, at + field.getKey() + ".");
            }
        });
    }

    private static ProxyConfig post(JsonNode root) {
        int descriptors = limit(root, "sockets", DESCRIPTORS, LEAST_DESCRIPTORS);
        int memoryMb = limit(root, "memory_mb", MEMORY_MB, LEAST_MEMORY_MB);
        return new ProxyConfig(root.path("name").asText("proxy"), address(root, "listen"), control(root),
                address(root, "discovery"), seed(root), descriptors, memoryMb, root.path("known"), site(need(root, "", "settings"), "settings."));
    }

    private static int limit(JsonNode root, String name, int byDefault, int least) {
        int limit = (int) number(root.path("limits"), "limits.", name, byDefault);
        if (limit < least) {
            throw new InvalidConfigException("limits." + name, "is under " + least);
        }
        return limit;
    }

    /** The settings alone, from their JSON text. */
    public Settings readSettings(byte[] json) {
        return site(parse(json, "settings"), "");
    }

    private static JsonNode parse(byte[] json, String what) {
        try {
            JsonNode root = Json.read(json);
            if (!root.isObject()) {
                throw new InvalidConfigException(what, "is no JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(what, "is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidConfigException(what, "cannot be read: " + e.getMessage());
        }
    }

    private static Settings site(JsonNode root, String at) {
        JsonNode ceilings = need(root, at, "ceilings");
        JsonNode rules = need(root, at, "rules");
        JsonNode penalties = root.path("penalties");
        JsonNode extra = root.path("extra");
        String inCeilings = at + "ceilings.";
        List<ServiceGrade> grades = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (JsonNode grade : need(root, at, "serviceGrades")) {
            String inGrade = at + "serviceGrades[" + grades.size() + "].";
            grades.add(grade(grade, inGrade));
            String name = need(grade, inGrade, "name").asText();
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
        String scale = root.path("weightSource").asText();
        if (!SCALES.contains(scale)) {
            LOG.log(Level.WARNING, "{0}weightSource: {1} is not known, so all nodes count alike", at, scale);
        }
        RouterSettings deployment = new RouterSettings(
                List.copyOf(grades),
                Math.max(1, root.path("balancers").asInt(1)),
                originModel(extra, root.path("flavors").size(), at + "extra."),
                scale.equals("nominal") || scale.equals("rough"),
                scale.equals("live"),
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
        return new Settings(deployment, List.copyOf(names), names(root.path("flavors")), names(root.path("dcs")),
                Math.max(1, (int) number(ceilings, inCeilings, "streamsPerConn", 1)),
                MS_PER_S * number(ceilings, inCeilings, "idleCloseS", 60),
                MS_PER_S * number(ceilings, inCeilings, "connectTimeoutS", 1),
                (int) number(ceilings, inCeilings, "mostHeld", Integer.MAX_VALUE));
    }

    /** The flavor of the origin where it stands in the list; -1 where nodes fetch by themselves. */
    private static int originModel(JsonNode extra, int flavors, String at) {
        if (!extra.path("mode").asText().equals("aside")) {
            return -1;
        }
        double kind = number(extra, at, "originKind");
        if (kind != Math.rint(kind) || kind >= flavors) {
            throw new InvalidConfigException(at + "originKind", "names none of the flavors");
        }
        return (int) kind;
    }

    private static double share(JsonNode node, String at, String name) {
        double share = number(node, at, name);
        if (share > 1) {
            throw new InvalidConfigException(at + name, "is over 1");
        }
        return share;
    }

    /** 0 is no such limit, as for the origin's. */
    private static double fallMultiple(JsonNode rules, String at) {
        double multiple = number(rules, at, "fallMultiple", FALL_MULTIPLE);
        return multiple == 0 ? Double.POSITIVE_INFINITY : multiple;
    }

    /** Where this proxy stands among the locations that {@code dcs} names; -1 where nothing tells. */
    private static int zone(JsonNode root, String at) {
        double zone = number(root, at, "zone", -1);
        if (zone != Math.rint(zone)) {
            throw new InvalidConfigException(at + "zone", "is no whole number");
        }
        return (int) zone;
    }

    private static ServiceGrade grade(JsonNode grade, String at) {
        return new ServiceGrade(
                switch (need(grade, at, "semantics").asText()) {
                    case "read_like" -> ServiceGrade.Semantics.IDEMPOTENT;
                    case "idempotency_key" -> ServiceGrade.Semantics.DEDUPLICATED;
                    case "non_idempotent" -> ServiceGrade.Semantics.NON_IDEMPOTENT;
                    default -> throw new InvalidConfigException(at + "semantics", "is none of read_like, idempotency_key"
                            + " and non_idempotent");
                },
                switch (grade.path("group").asText()) {
                    case "all" -> ServiceGrade.Group.ALL;
                    case "zone" -> ServiceGrade.Group.ZONE;
                    default -> ServiceGrade.Group.CELL;
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

    private static JsonNode need(JsonNode node, String at, String name) {
        JsonNode found = node.get(name);
        if (found == null || found.isNull()) {
            throw new InvalidConfigException(at + name, "is missing");
        }
        return found;
    }

    private static double number(JsonNode node, String at, String name) {
        JsonNode found = need(node, at, name);
        if (!found.isNumber() || found.asDouble() < 0) {
            throw new InvalidConfigException(at + name, "is not a number from 0");
        }
        return found.asDouble();
    }

    private static double positive(JsonNode node, String at, String name) {
        double number = number(node, at, name);
        if (number <= 0) {
            throw new InvalidConfigException(at + name, "is not over 0");
        }
        return number;
    }

    private static double number(JsonNode node, String at, String name, double byDefault) {
        return node.path(name).isMissingNode() || node.path(name).isNull() ? byDefault : number(node, at, name);
    }

    private static InetSocketAddress address(JsonNode root, String name) {
        return address(name, need(root, "", name).asText());
    }

    private static InetSocketAddress address(String name, String text) {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(name, "is " + e.getMessage());
        }
    }

    /** The file's, or where it says nothing the environment's; null for no door. */
    private static InetSocketAddress control(JsonNode root) {
        String told = System.getenv("NODE_CONTROL");
        if (!root.path("control").isMissingNode() && !root.path("control").isNull()) {
            return address(root, "control");
        }
        return told == null || told.isEmpty() ? null : address("control", told);
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
