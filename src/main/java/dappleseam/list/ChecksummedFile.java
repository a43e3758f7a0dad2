package dappleseam.list;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.wire.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.zip.CRC32;

/** A JSON file with a header line that holds the format version and a checksum; used to hand state to the next process. */
public final class ChecksummedFile {
    private static final int MAX_FILE_BYTES = 4 << 20;
    private static final int MAX_HEADER_BYTES = 64;

    private ChecksummedFile() {}

    /** The file was not written by {@link #write} with the expected version, or has changed since. */
    public static final class DamagedException extends IOException {
        private static final long serialVersionUID = 1L;

        public DamagedException(String what) {
            super(what);
        }
    }

    /** Writes the JSON content of a file. */
    public interface Content {
        void write(JsonGenerator json) throws IOException;
    }

    /** Replaces the file atomically. */
    public static void write(Path file, String version, Content content) throws IOException {
        write(file, version, content, false);
    }

    /** Replaces the file atomically, and returns once the file and its folder entry are synced to disk. */
    public static void writeDurably(Path file, String version, Content content) throws IOException {
        write(file, version, content, true);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    private static void write(Path file, String version, Content content, boolean durable) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(buffer)) {
            content.write(json);
        }
        byte[] body = buffer.toByteArray();
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((version + ' ' + checksum(body) + '\n').getBytes(StandardCharsets.US_ASCII));
        all.write(body);
        try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            for (ByteBuffer left = ByteBuffer.wrap(all.toByteArray()); left.hasRemaining();) {
                out.write(left);
            }
            if (durable) {
                out.force(true);
            }
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Reads the content; the exception says why the file cannot be used. */
    public static JsonNode read(Path file, String version) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException("the file is too large");
        }
        byte[] all = Files.readAllBytes(file);
        int end = 0;
        while (end < all.length && all[end] != '\n' && end < MAX_HEADER_BYTES) {
            end++;
        }
        byte[] body = Arrays.copyOfRange(all, Math.min(all.length, end + 1), all.length);
        if (!new String(all, 0, end, StandardCharsets.US_ASCII).equals(version + ' ' + checksum(body))) {
            throw new DamagedException("wrong format version, or damaged");
        }
        return Json.read(body);
    }

    private static String checksum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes);
        return Long.toHexString(sum.getValue());
    }
}
