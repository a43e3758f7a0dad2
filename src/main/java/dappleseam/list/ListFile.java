package dappleseam.list;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;

/** The list as one process had it last, kept for the one that takes over: in the list service's form, behind a line that proves it. */
public final class ListFile {
    /** Of the format; another version passes it over. */
    private static final String VERSION = "dappleseam-list-1";

    private ListFile() {}

    public static void write(Path file, NodeList list) throws IOException {
        ChecksummedFile.write(file, VERSION, json -> write(json, list));
    }

    /** The list in the file; an exception says why it is of no use. */
    public static JsonNode read(Path file) throws IOException {
        return ChecksummedFile.read(file, VERSION);
    }

    /** In the list service's form, as one object. */
    public static void write(JsonGenerator json, NodeList list) throws IOException {
        json.writeStartObject();
        json.writeNumberField("rev", list.version());
        json.writeBooleanField("all", list.full());
        json.writeArrayFieldStart("targets");
        for (ListEntry entry : list.entries()) {
            json.writeStartObject();
            json.writeStringField("uid", entry.uid());
            json.writeStringField("endpoint", entry.endpoint().getHostString() + ':' + entry.endpoint().getPort());
            json.writeStringField("az", entry.zone());
            json.writeStringField("model", entry.modelName());
            json.writeNumberField("pod_group", entry.member().cell());
            json.writeStringField("state", entry.member().state().name().toLowerCase(Locale.ROOT));
            json.writeNumberField("capacity_hint", entry.member().weight());
            json.writeNumberField("boot_ms", entry.member().startedAtMs());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }
}
