package dappleseam.fleet.lastlist;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.fleet.lease.FleetTask.Permit;
import dappleseam.fleet.lease.Token;
import dappleseam.list.NodeList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The fleet's last known list in a folder, and the task that keeps it there. */
class FolderStoreTest {
    @TempDir
    Path folder;
    private FolderStore store;

    @BeforeEach
    void open() {
        store = new FolderStore(folder.resolve("store"));
    }

    @Test
    void whatIsWrittenIsReadDrainsIncluded() throws Exception {
        assertThatThrownBy(store::read).isInstanceOf(NoSuchFileException.class);
        store.write(new Token(5, 7), 1, 1000, Lists.list(3));
        ListStore.Stored read = store.read();
        assertThat(read.token()).isEqualTo(new Token(5, 7));
        assertThat(read.writtenAtMs()).isEqualTo(1000);
        assertThat(read.list().path("rev").asLong()).isEqualTo(3);
        assertThat(read.list().path("targets").path(0).path("state").asText()).isEqualTo("draining");
    }

    @Test
    void anOlderTokenIsRefusedAndToldTheLater() throws Exception {
        store.write(new Token(5, 7), 1, 1000, Lists.list(3));
        store.write(new Token(5, 7), 2, 2000, Lists.list(4));
        assertThatThrownBy(() -> store.write(new Token(5, 7), 1, 2500, Lists.list(8))).as("its own, long on its way").isInstanceOf(ListStore.FencedException.class);
        store.write(new Token(6, 1), 1, 3000, Lists.list(5));
        assertThatThrownBy(() -> store.write(new Token(5, 7), 3, 4000, Lists.list(9))).isInstanceOfSatisfying(ListStore.FencedException.class,
                e -> assertThat(e.seen()).isEqualTo(new Token(6, 1)));
        assertThat(store.read().list().path("rev").asLong()).isEqualTo(5);
    }

    @Test
    void damageIsSeenAndWrittenOver() throws Exception {
        store.write(new Token(5, 7), 1, 1000, Lists.list(3));
        Path file = folder.resolve("store").resolve("list");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 3] ^= 1;
        Files.write(file, bytes);
        assertThatThrownBy(store::read).isInstanceOf(IOException.class);
        store.write(new Token(6, 1), 1, 2000, Lists.list(4));
        assertThat(store.read().list().path("rev").asLong()).isEqualTo(4);
    }

    /** A holder that stood still between its check and its write does no harm, and hears of it. */
    @Test
    void theTaskWritesOnlyWithItsPermitAndHearsThatItIsFenced() throws Exception {
        List<Token> fenced = new ArrayList<>();
        Token[] token = {null};
        Permit permit = new Permit() {
            @Override
            public Token token(double forMs) {
                return token[0];
            }

            @Override
            public void fenced(Token seen) {
                fenced.add(seen);
            }
        };
        NodeList[] last = {null};
        LastListTask task = new LastListTask(() -> last[0], store);
        task.run(permit);
        last[0] = Lists.list(3);
        task.run(permit);
        assertThatThrownBy(store::read).as("no permit, no write").isInstanceOf(NoSuchFileException.class);
        token[0] = new Token(2, 2);
        task.run(permit);
        assertThat(store.read().token()).isEqualTo(token[0]);
        store.write(new Token(3, 3), 1, 1, Lists.list(4));
        task.run(permit);
        assertThat(fenced).as("it is the same list, and not written again").isEmpty();
        last[0] = Lists.list(5);
        task.run(permit);
        assertThat(fenced).containsExactly(new Token(3, 3));
        assertThat(store.read().list().path("rev").asLong()).isEqualTo(4);
    }
}
