package dappleseam.fleet.peers;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.list.SealedFile;
import dappleseam.wire.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Addresses of members, saved by one process of a proxy for the next one, so that it can join without a seed. */
final class KnownFile {
    static final int MOST = 64;
    private static final String VERSION = "dappleseam-fleet-1";

    private KnownFile() {}

    static void write(Path file, String fleet, List<InetSocketAddress> known) throws IOException {
        SealedFile.write(file, VERSION, json -> {
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

    /** Reads the addresses; throws if there is no usable file. */
    static List<InetSocketAddress> read(Path file, String fleet) throws IOException {
        JsonNode root = SealedFile.read(file, VERSION);
        if (!root.path("fleet").asText().equals(fleet)) {
            throw new IOException("the file belongs to another fleet");
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
