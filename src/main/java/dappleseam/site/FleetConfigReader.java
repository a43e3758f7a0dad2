package dappleseam.site;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.peers.FleetConfig;
import dappleseam.fleet.share.FleetFeatures;
import dappleseam.wire.Address;
import dappleseam.wire.Json;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads and validates the file given with {@code serve --fleet}. Errors are reported by key. */
public final class FleetConfigReader {
    private static final Set<String> KEYS = Set.of("fleet", "name", "bind", "advertise", "seeds", "period_ms", "counted", "most",
            "forget_s", "record", "leases", "signals", "shares", "turns", "subsets");
    /** Number of the first set of voters. */
    private static final int FIRST_NUMBER = 1;
    private static final double MIN_LEASE_MS = 500;
    private static final Set<String> LEASE_KEYS = Set.of("voters", "number", "lease_ms", "previous_lease_ms", "drift", "voter_file", "list_store");
    private static final int MAX_SEEDS = 64;
    private static final double MS_PER_S = 1000;
    private static final String NAME_FORM = "is not 1 to 48 letters, digits, dots, dashes and underscores";

    private FleetConfigReader() {}

    /** Reads the file; {@code name} and {@code initialFleetSize} are the defaults from the proxy's configuration for what the file leaves out. */
    public static FleetConfig read(Path file, String name, int initialFleetSize) throws IOException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidConfigException("--fleet", "cannot be read: " + file);
        }
        JsonNode root;
        try {
            root = Json.read(text);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(file.getFileName().toString(), "is not JSON: " + e.getOriginalMessage());
        }
        if (!root.isObject()) {
            throw new InvalidConfigException(file.getFileName().toString(), "is not a JSON object");
        }
        root.fieldNames().forEachRemaining(key -> {
            if (!KEYS.contains(key)) {
                throw new InvalidConfigException(key, "is not known");
            }
        });
        InetSocketAddress bind = address("bind", text(root, "bind", null));
        InetSocketAddress advertise = root.has("advertise") ? address("advertise", text(root, "advertise", null)) : bind;
        if (advertise.getAddress().isAnyLocalAddress()) {
            throw new InvalidConfigException(root.has("advertise") ? "advertise" : "bind",
                    "is not an address that other members can reach; set advertise");
        }
        List<InetSocketAddress> seeds = new ArrayList<>();
        JsonNode listed = root.path("seeds");
        if (!listed.isMissingNode() && !listed.isArray()) {
            throw new InvalidConfigException("seeds", "is not a list");
        }
        for (JsonNode seed : listed) {
            seeds.add(address("seeds[" + seeds.size() + "]", seed.asText()));
        }
        if (seeds.size() > MAX_SEEDS) {
            throw new InvalidConfigException("seeds", "has more entries than the limit of " + MAX_SEEDS);
        }
        MembershipConfig membershipConfig = new MembershipConfig(number(root, "period_ms", MembershipConfig.DEFAULT_PERIOD_MS, 20, 60_000),
                (int) number(root, "counted", initialFleetSize, 1, 20_000),
                (int) number(root, "most", MembershipConfig.DEFAULT_MAX_MEMBERS, 2, 20_000),
                MS_PER_S * number(root, "forget_s", MembershipConfig.DEFAULT_FORGET_AFTER_MS / MS_PER_S, 10, 86_400),
                true, MembershipConfig.DEFAULT_INDIRECT_PROBES);
        return new FleetConfig(name(root, "fleet", null).text(), name(root, "name", name), bind, advertise, List.copyOf(seeds), membershipConfig,
                path(root, "record"), leases(root.path("leases")), path(root.path("leases"), "voter_file"),
                listStore(root.path("leases")),
                new FleetFeatures(flag(root, "signals"), flag(root, "shares"), flag(root, "turns"), flag(root, "subsets")));
    }

    private static LeaseConfig leases(JsonNode leases) {
        if (leases.isMissingNode()) {
            return null;
        }
        if (!leases.isObject()) {
            throw new InvalidConfigException("leases", "is not a JSON object");
        }
        leases.fieldNames().forEachRemaining(key -> {
            if (!LEASE_KEYS.contains(key)) {
                throw new InvalidConfigException("leases." + key, "is not known");
            }
        });
        List<MemberName> voters = new ArrayList<>();
        for (JsonNode voter : leases.path("voters")) {
            try {
                voters.add(new MemberName(voter.asText()));
            } catch (IllegalArgumentException e) {
                throw new InvalidConfigException("leases.voters[" + voters.size() + "]", NAME_FORM);
            }
        }
        if (voters.size() != 3 && voters.size() != 5) {
            throw new InvalidConfigException("leases.voters", "does not name three or five members");
        }
        if (voters.stream().distinct().count() < voters.size()) {
            throw new InvalidConfigException("leases.voters", "names a member twice");
        }
        int number = (int) number(leases, "leases.", "number", FIRST_NUMBER, 0, 1_000_000);
        double leaseMs = number(leases, "leases.", "lease_ms", LeaseConfig.DEFAULT_LEASE_MS, MIN_LEASE_MS, LeaseConfig.MAX_LEASE_MS);
        double unstatedMs = number <= FIRST_NUMBER ? leaseMs : LeaseConfig.MAX_LEASE_MS; // a later set may follow on one with any lease time
        return new LeaseConfig(voters, number, leaseMs, number(leases, "leases.", "drift", LeaseConfig.DEFAULT_DRIFT, 0, 0.1),
                number(leases, "leases.", "previous_lease_ms", unstatedMs, MIN_LEASE_MS, LeaseConfig.MAX_LEASE_MS));
    }

    private static String listStore(JsonNode leases) {
        if (!leases.has("list_store")) {
            return null;
        }
        String store = text(leases, "leases.", "list_store", null);
        if (store.startsWith("http:") || store.startsWith("https:")) {
            try {
                URI uri = new URI(store);
                if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getUserInfo() != null || uri.getQuery() != null) {
                    throw new InvalidConfigException("leases.list_store", "is not an address of the form http://host:port/path: " + store);
                }
            } catch (URISyntaxException e) {
                throw new InvalidConfigException("leases.list_store", "is not an address: " + e.getMessage());
            }
        }
        return store;
    }

    private static boolean flag(JsonNode root, String key) {
        if (root.has(key) && !root.get(key).isBoolean()) {
            throw new InvalidConfigException(key, "is neither true nor false");
        }
        return root.path(key).asBoolean(false);
    }

    private static Path path(JsonNode root, String key) {
        return root.has(key) ? Path.of(text(root, key, null)) : null;
    }

    private static String text(JsonNode root, String key, String defaultValue) {
        return text(root, "", key, defaultValue);
    }

    private static String text(JsonNode root, String at, String key, String defaultValue) {
        JsonNode found = root.path(key);
        if (found.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (found.isMissingNode()) {
            throw new InvalidConfigException(at + key, "is missing");
        }
        if (!found.isTextual() || found.asText().isEmpty()) {
            throw new InvalidConfigException(at + key, "is not a non-empty string");
        }
        return found.asText();
    }

    private static MemberName name(JsonNode root, String key, String defaultValue) {
        try {
            return new MemberName(text(root, key, defaultValue));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(key, NAME_FORM);
        }
    }

    private static InetSocketAddress address(String key, String text) {
        InetSocketAddress address;
        try {
            address = Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(key, "is " + e.getMessage());
        }
        if (address.getPort() == 0 || !(address.getAddress() instanceof Inet4Address)) {
            throw new InvalidConfigException(key, "is not an IPv4 address with a port: " + text);
        }
        return address;
    }

    private static double number(JsonNode root, String key, double defaultValue, double min, double max) {
        return number(root, "", key, defaultValue, min, max);
    }

    private static double number(JsonNode root, String at, String key, double defaultValue, double min, double max) {
        JsonNode found = root.path(key);
        if (found.isMissingNode()) {
            return defaultValue;
        }
        if (!found.isNumber() || found.asDouble() < min || found.asDouble() > max) {
            throw new InvalidConfigException(at + key, "is not a number from " + plain(min) + " to " + plain(max));
        }
        return found.asDouble();
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
