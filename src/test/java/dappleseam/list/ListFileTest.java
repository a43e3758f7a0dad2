package dappleseam.list;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ListFileTest {
    private static final String LIST = "{\"rev\":4,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:6379\","
            + "\"az\":\"b\",\"model\":\"m2\",\"pod_group\":3,\"state\":\"draining\",\"capacity_hint\":1.5,\"boot_ms\":77}]}";

    @TempDir
    Path folder;
    private final ListReader reader = new ListReader(List.of("m1", "m2"), List.of("a", "b"));
    private NodeList list;
    private Path file;

    @BeforeEach
    void write() throws IOException {
        file = folder.resolve("list");
        list = reader.read(LIST.getBytes(StandardCharsets.UTF_8));
        ListFile.write(file, list);
    }

    @Test
    void readReturnsWhatWasWritten() throws IOException {
        assertThat(reader.read(ListFile.read(file))).isEqualTo(list);
    }

    /** A process may be killed while writing the file, or another version may have written it; a new process must not use either. */
    @Test
    void aDamagedFileOrAnotherVersionIsRejected() throws IOException {
        byte[] whole = Files.readAllBytes(file);
        for (int cut : new int[] {0, 5, 40, whole.length - 1}) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            assertThatThrownBy(() -> ListFile.read(file)).isInstanceOf(IOException.class);
        }
        Files.writeString(file, new String(whole, StandardCharsets.UTF_8).replace("list-1", "list-2"));
        assertThatThrownBy(() -> ListFile.read(file)).isInstanceOf(IOException.class);
        Files.writeString(file, new String(whole, StandardCharsets.UTF_8).replace("draining", "ready"));
        assertThatThrownBy(() -> ListFile.read(file)).isInstanceOf(IOException.class);
    }
}
