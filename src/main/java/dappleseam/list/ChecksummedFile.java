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

/** JSON that one process leaves for the next, behind a line with its version and a sum that proves it. */
public final class ChecksummedFile {
    private static final int LONGEST = 4 << 20;
    private static final int LONGEST_FIRST_LINE = 64;

    private ChecksummedFile() {}

    /** What is there was never written so. */
    public static final class DamagedException extends IOException {
        private static final long serialVersionUID = 1L;

        public DamagedException(String what) {
            super(what);
        }
    }

    /** Writes the JSON of one file. */
    public interface Content {
        void write(JsonGenerator json) throws IOException;
    }

    /** Replaces the file as a whole. */
    public static void write(Path file, String version, Content content) throws IOException {
        write(file, version, content, false);
    }

    /** Returns once file and folder are on the disk. */
    public static void writeDurably(Path file, String version, Content content) throws IOException {
        write(file, version, content, true);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    private static void write(Path file, String version, Content content, boolean forced) throws IOException {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(written)) {
            content.write(json);
        }
        byte[] body = written.toByteArray();
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((version + ' ' + checkSum(body) + '\n').getBytes(StandardCharsets.US_ASCII));
        all.write(body);
        try (FileChannel out = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            for (ByteBuffer left = ByteBuffer.wrap(all.toByteArray()); left.hasRemaining();) {
                out.write(left);
            }
            if (forced) {
                out.force(true);
            }
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** What is in the file; an exception says why it is of no use. */
    public static JsonNode read(Path file, String version) throws IOException {
        if (Files.size(file) > LONGEST) {
            throw new IOException("too long");
        }
        byte[] all = Files.readAllBytes(file);
        int end = 0;
        while (end < all.length && all[end] != '\n' && end < LONGEST_FIRST_LINE) {
            end++;
        }
        byte[] body = Arrays.copyOfRange(all, Math.min(all.length, end + 1), all.length);
        if (!new String(all, 0, end, StandardCharsets.US_ASCII).equals(version + ' ' + checkSum(body))) {
            throw new DamagedException("of another version, or damaged");
        }
        return Json.read(body);
    }

    private static String checkSum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes);
        return Long.toHexString(sum.getValue());
    }
}
