package dappleseam.fleet.peers;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.list.ChecksummedFile;
import dappleseam.wire.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Addresses of members that one process of a proxy leaves for the next, so that it needs no seed. */
final class KnownFile {
    static final int MOST = 64;
    private static final String VERSION = "dappleseam-fleet-1";

    private KnownFile() {}

    static void write(Path file, String fleet, List<InetSocketAddress> known) throws IOException {
        ChecksummedFile.write(file, VERSION, json -> {
            json.writeStartObject();
            json.writeStringField("fleet", fleet);
            json.writeArrayFieldStart("known");
            for (InetSocketAddress address : known.subList(0, Math.min(MOST, known.size()))) {
                json.writeString(address.getAddress().getHostAddress() + ':' + address.getPort());
            }
            json.writeEndArray();
            json.writeEndObject();
        });
    }

    /** An exception says why there is nothing to be had. */
    static List<InetSocketAddress> read(Path file, String fleet) throws IOException {
        JsonNode root = ChecksummedFile.read(file, VERSION);
        if (!root.path("fleet").asText().equals(fleet)) {
            throw new IOException("of another fleet");
        }
        List<InetSocketAddress> known = new ArrayList<>();
        for (JsonNode address : root.path("known")) {
            if (known.size() < MOST) {
                known.add(Address.parse(address.asText()));
            }
        }
        return known;
    }
}
