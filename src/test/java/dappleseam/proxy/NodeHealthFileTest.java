package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.list.ChecksummedFile;
import dappleseam.router.NodeHealth;
import dappleseam.router.NodeId;
import dappleseam.site.Settings;
import dappleseam.site.ConfigReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeHealthFileTest {
    private static final List<NodeHealth> NODES = List.of(new NodeHealth(new NodeId(-5), 77, 9000, 0, 2.5, 0.25));

    @TempDir
    Path folder;

    private static Settings settings(String modelNames) {
        return new ConfigReader().readSettings(("""
                {"flavors":[%s],"dcs":["a","b"],"ceilings":{"mostExecutions":2},"rules":{"coldFrom":0.2,"warmAfterS":10},
                 "serviceGrades":[{"name":"read","semantics":"read_like","sloTimeS":0.5,"statementTimeoutS":1}]}"""
                .formatted(modelNames)).getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readReturnsWhatWasWritten() throws IOException {
        Path file = folder.resolve("learnt");
        NodeHealthFile.write(file, settings("\"m\""), 5000, NODES);
        assertThat(NodeHealthFile.read(file, settings("\"m\""), 9000)).isEqualTo(NODES);
    }

    /** A new process must not use entries whose meaning may have changed. */
    @Test
    void staleForeignFutureOrDamagedFilesAreIgnored() throws IOException {
        Path file = folder.resolve("learnt");
        NodeHealthFile.write(file, settings("\"m\""), 5000, NODES);
        assertThatThrownBy(() -> NodeHealthFile.read(file, settings("\"m\""), 15_001)).hasMessage("too old");
        assertThatThrownBy(() -> NodeHealthFile.read(file, settings("\"m\""), 3000)).hasMessage("saved in the future");
        assertThatThrownBy(() -> NodeHealthFile.read(file, settings("\"n\""), 5000)).hasMessage("saved under other settings");
        byte[] wholeFile = Files.readAllBytes(file);
        for (int cut : new int[] {0, 5, 40, wholeFile.length - 1}) {
            Files.write(file, java.util.Arrays.copyOf(wholeFile, cut));
            assertThatThrownBy(() -> NodeHealthFile.read(file, settings("\"m\""), 5000)).isInstanceOf(IOException.class);
        }
        assertThatThrownBy(() -> NodeHealthFile.read(folder.resolve("none"), settings("\"m\""), 5000))
                .isInstanceOf(IOException.class);
    }

    @Test
    void onlyInvalidEntriesAreLeftOut() throws IOException {
        Path file = folder.resolve("learnt");
        String valid = "{\"node\":\"a\",\"started\":1,\"aside\":2,\"busy\":3,\"idle\":4,\"shed\":0.5}";
        String nodes = String.join(",", valid, valid.replace("0.5", "1.5"), valid.replace("\"a\"", "\"zz\""),
                valid.replace("\"busy\":3", "\"busy\":-3"), valid.replace("\"idle\":4,", ""), "7");
        ChecksummedFile.write(file, "dappleseam-learnt-2",
                json -> json.writeRaw("{\"deployment\":\"m;a,b\",\"at\":5000,\"nodes\":[" + nodes + "]}"));
        assertThat(NodeHealthFile.read(file, settings("\"m\""), 5000))
                .containsExactly(new NodeHealth(new NodeId(10), 1, 2, 3, 4, 0.5));
    }
}
