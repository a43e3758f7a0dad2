package dappleseam.list;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.wire.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.Locale;
import java.util.zip.CRC32;

/** The list as one process had it last, kept for the one that takes over: in the list service's form, behind a line that proves it. */
public final class ListFile {
    /** Of the format; another version passes it over. */
    private static final String VERSION = "dappleseam-list-1";
    private static final int LONGEST = 4 << 20;
    private static final int LONGEST_FIRST_LINE = 64;

    private ListFile() {}

    /** Replaces the file as a whole. */
    public static void write(Path file, NodeList list) throws IOException {
        byte[] body = json(list);
        String first = VERSION + ' ' + checkSum(body) + '\n';
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(first.getBytes(StandardCharsets.US_ASCII));
        all.write(body);
        Files.write(beside, all.toByteArray());
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The list in the file; an exception says why it is of no use. */
    public static JsonNode read(Path file) throws IOException {
        if (Files.size(file) > LONGEST) {
            throw new IOException("too long");
        }
        byte[] all = Files.readAllBytes(file);
        int end = 0;
        while (end < all.length && all[end] != '\n' && end < LONGEST_FIRST_LINE) {
            end++;
        }
        byte[] body = Arrays.copyOfRange(all, Math.min(all.length, end + 1), all.length);
        if (!new String(all, 0, end, StandardCharsets.US_ASCII).equals(VERSION + ' ' + checkSum(body))) {
            throw new IOException("of another version, or damaged");
        }
        return Json.read(body);
    }

    private static String checkSum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes);
        return Long.toHexString(sum.getValue());
    }

    private static byte[] json(NodeList list) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("rev", list.version());
            json.writeBooleanField("all", list.whole());
            json.writeArrayFieldStart("targets");
            for (Listed entry : list.entries()) {
                json.writeStartObject();
                json.writeStringField("uid", entry.uid());
                json.writeStringField("endpoint", entry.endpoint().getHostString() + ':' + entry.endpoint().getPort());
                json.writeStringField("az", entry.zone());
                json.writeStringField("model", entry.machine());
                json.writeNumberField("pod_group", entry.member().cell());
                json.writeStringField("state", entry.member().state().name().toLowerCase(Locale.ROOT));
                json.writeNumberField("capacity_hint", entry.member().scale());
                json.writeNumberField("boot_ms", entry.member().startedAtMs());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return out.toByteArray();
    }
}
