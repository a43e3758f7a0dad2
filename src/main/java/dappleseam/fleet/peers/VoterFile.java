package dappleseam.fleet.peers;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.VoterStorage;
import dappleseam.fleet.membership.MemberName;
import dappleseam.list.ChecksummedFile;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** A voter's state in a file that is replaced as a whole and forced to the disk, with a header line of format version and checksum. */
public final class VoterFile implements VoterStorage {
    private static final String VERSION = "dappleseam-voter-1";
    private static final String LEASE_MS = "lease_ms";

    private final Path file;

    public VoterFile(Path file) {
        this.file = file;
    }

    @Override
    public VoterState read() throws IOException {
        try {
            JsonNode root = ChecksummedFile.read(file, VERSION);
            Map<LeaseName, Vote> votes = new LinkedHashMap<>();
            for (JsonNode vote : root.path("votes")) {
                String holder = vote.path("holder").asText();
                votes.put(new LeaseName(vote.path("lease").asText()), new Vote(token(vote.path("promised")), token(vote.path("accepted")),
                        holder.isEmpty() ? null : new MemberName(holder)));
            }
            return new VoterState(new MemberName(root.path("voter").asText()), root.path("set").asInt(), root.path("start").asLong(),
                    root.path("closed").asBoolean(), root.path(LEASE_MS).asDouble(Double.NaN), votes);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid content: " + e.getMessage(), e);
        }
    }

    private static Token token(JsonNode parts) {
        return new Token(parts.path(0).asLong(), parts.path(1).asLong());
    }

    @Override
    public void write(VoterState state) throws IOException {
        ChecksummedFile.writeDurably(file, VERSION, json -> {
            json.writeStartObject();
            json.writeStringField("voter", state.voter().text());
            json.writeNumberField("set", state.configFingerprint());
            json.writeNumberField("start", state.startNumber());
            json.writeBooleanField("closed", state.cleanlyClosed());
            json.writeNumberField(LEASE_MS, state.bindingLeaseMs());
            json.writeArrayFieldStart("votes");
            for (Map.Entry<LeaseName, Vote> entry : state.votes().entrySet()) {
                json.writeStartObject();
                json.writeStringField("lease", entry.getKey().text());
                for (Map.Entry<String, Token> token : Map.of("promised", entry.getValue().promised(), "accepted", entry.getValue().accepted()).entrySet()) {
                    json.writeArrayFieldStart(token.getKey());
                    json.writeNumber(token.getValue().round());
                    json.writeNumber(token.getValue().nonce());
                    json.writeEndArray();
                }
                json.writeStringField("holder", entry.getValue().holder() == null ? "" : entry.getValue().holder().text());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        });
    }
}
