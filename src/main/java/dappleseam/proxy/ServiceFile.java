package dappleseam.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.list.ChecksummedFile;
import java.io.IOException;
import java.nio.file.Path;

/** File that tells the processes on one address whether an operator has sent its clients away. */
final class ServiceFile {
    /** Format version; files of any other version are ignored. */
    private static final String VERSION = "dappleseam-service-1";
    private static final String OUT_OF_SERVICE = "outOfService";

    private final Path file;

    ServiceFile(Path file) {
        this.file = file;
    }

    void write(boolean isOutOfService) throws IOException {
        ChecksummedFile.write(file, VERSION, json -> {
            json.writeStartObject();
            json.writeBooleanField(OUT_OF_SERVICE, isOutOfService);
            json.writeEndObject();
        });
    }

    /** Whether clients are sent away; the exception says why the file does not tell. */
    boolean readOutOfService() throws IOException {
        JsonNode content = ChecksummedFile.read(file, VERSION).path(OUT_OF_SERVICE);
        if (!content.isBoolean()) {
            throw new ChecksummedFile.DamagedException(OUT_OF_SERVICE + " is missing");
        }
        return content.booleanValue();
    }
}
