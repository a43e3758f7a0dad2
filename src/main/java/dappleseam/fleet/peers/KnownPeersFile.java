package dappleseam.fleet.peers;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.list.ChecksummedFile;
import dappleseam.wire.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Addresses of members, saved by one process of a proxy for the next one, so that it can join without a seed. */
final class KnownPeersFile {
    static final int MAX_PEERS = 64;
    private static final String VERSION = "dappleseam-fleet-1";

    private KnownPeersFile() {}

    static void write(Path file, String fleet, List<InetSocketAddress> peers) throws IOException {
        ChecksummedFile.write(file, VERSION, json -> {
            json.writeStartObject();
            json.writeStringField("fleet", fleet);
            json.writeArrayFieldStart("known");
            for (InetSocketAddress address : peers.subList(0, Math.min(MAX_PEERS, peers.size()))) {
                json.writeString(address.getAddress().getHostAddress() + ':' + address.getPort());
            }
            json.writeEndArray();
            json.writeEndObject();
        });
    }

    /** Reads the addresses; throws if there is no usable file. */
    static List<InetSocketAddress> read(Path file, String fleet) throws IOException {
        JsonNode root = ChecksummedFile.read(file, VERSION);
        if (!root.path("fleet").asText().equals(fleet)) {
            throw new IOException("the file belongs to another fleet");
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode address : root.path("known")) {
            if (peers.size() < MAX_PEERS) {
                peers.add(Address.parse(address.asText()));
            }
        }
        return peers;
    }
}
