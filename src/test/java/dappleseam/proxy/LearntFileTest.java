package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.list.SealedFile;
import dappleseam.router.Learnt;
import dappleseam.router.NodeId;
import dappleseam.site.Site;
import dappleseam.site.SiteReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LearntFileTest {
    private static final List<Learnt> LEARNT = List.of(new Learnt(new NodeId(-5), 77, 9000, 0, 2.5, 0.25));

    @TempDir
    Path folder;

    private static Site site(String machines) {
        return new SiteReader().readSite(("""
                {"flavors":[%s],"dcs":["a","b"],"ceilings":{"mostExecutions":2},"rules":{"coldFrom":0.2,"warmAfterS":10},
                 "serviceGrades":[{"name":"read","semantics":"read_like","sloTimeS":0.5,"statementTimeoutS":1}]}"""
                .formatted(machines)).getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatIsReadIsWhatWasWritten() throws IOException {
        Path file = folder.resolve("learnt");
        LearntFile.write(file, site("\"m\""), 5000, LEARNT);
        assertThat(LearntFile.read(file, site("\"m\""), 9000)).isEqualTo(LEARNT);
    }

    /** A new process must not use entries whose meaning may have changed. */
    @Test
    void whatIsOldOfAnotherDeploymentFromTheFutureOrDamagedIsPassedOver() throws IOException {
        Path file = folder.resolve("learnt");
        LearntFile.write(file, site("\"m\""), 5000, LEARNT);
        assertThatThrownBy(() -> LearntFile.read(file, site("\"m\""), 15_001)).hasMessage("too old");
        assertThatThrownBy(() -> LearntFile.read(file, site("\"m\""), 3000)).hasMessage("saved in the future");
        assertThatThrownBy(() -> LearntFile.read(file, site("\"n\""), 5000)).hasMessage("saved under other settings");
        byte[] whole = Files.readAllBytes(file);
        for (int cut : new int[] {0, 5, 40, whole.length - 1}) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            assertThatThrownBy(() -> LearntFile.read(file, site("\"m\""), 5000)).isInstanceOf(IOException.class);
        }
        assertThatThrownBy(() -> LearntFile.read(folder.resolve("none"), site("\"m\""), 5000))
                .isInstanceOf(IOException.class);
    }

    @Test
    void anOddEntryIsLeftOutAlone() throws IOException {
        Path file = folder.resolve("learnt");
        String sound = "{\"node\":\"a\",\"started\":1,\"aside\":2,\"busy\":3,\"idle\":4,\"shed\":0.5}";
        String nodes = String.join(",", sound, sound.replace("0.5", "1.5"), sound.replace("\"a\"", "\"zz\""),
                sound.replace("\"busy\":3", "\"busy\":-3"), sound.replace("\"idle\":4,", ""), "7");
        SealedFile.write(file, "dappleseam-learnt-2",
                json -> json.writeRaw("{\"deployment\":\"m;a,b\",\"at\":5000,\"nodes\":[" + nodes + "]}"));
        assertThat(LearntFile.read(file, site("\"m\""), 5000))
                .containsExactly(new Learnt(new NodeId(10), 1, 2, 3, 4, 0.5));
    }
}
