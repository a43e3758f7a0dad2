package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The platform kills as early as it may: by the shortest statement timeout of the settings that may be in use at SIGTERM. Every accepted query
 * still has to be answered.
 */
class KillTest {
    private static final long KILL_MORE_MS = 700;
    private static final long SHORT_MS = 300;

    @TempDir
    Path folder;
    private Sockets sockets;

    @BeforeEach
    void prepare() throws Exception {
        sockets = new Sockets();
    }

    @AfterEach
    void end() throws Exception {
        sockets.close();
    }

    private void longest(double seconds) {
        sockets.grades = "{\"name\":\"read\",\"semantics\":\"read_like\",\"sloTimeS\":" + seconds + ",\"statementTimeoutS\":" + seconds + "}";
    }

    /** SIGHUP shortens the timeouts around SIGTERM, in several orders; the kill may follow the new or the previous timeouts. */
    @ParameterizedTest
    @ValueSource(strings = {"HUP TERM", "TERM HUP", "HUP TERM HUP TERM", "TERM HUP TERM HUP"})
    void newSettingsBesideTheSignalToEndCostNoAnswer(String signals) throws Exception {
        longest(3);
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id", "c=read,d=3000");
        sockets.cache.next(); // never answered
        longest(SHORT_MS / 1000.0);
        sockets.config(folder, "");
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> {
            try {
                return client.answer();
            } catch (java.io.IOException e) {
                return e.toString();
            }
        });
        for (String signal : signals.split(" ")) {
            sockets.signal(signal);
            if (signal.equals("TERM")) {
                CompletableFuture.delayedExecutor(SHORT_MS + KILL_MORE_MS, TimeUnit.MILLISECONDS).execute(sockets.program::destroyForcibly);
            }
        }
        assertThat(answer.get(Sockets.PATIENCE_S, TimeUnit.SECONDS)).matches("-ERR failed|-BUSY.*");
    }

    /** The timeouts have just become longer, and the kill may still follow the shorter ones. */
    @ParameterizedTest
    @ValueSource(longs = {0, 500})
    void longerDeadlinesAMomentBeforeTheSignalToEndCostNoAnswer(long msBefore) throws Exception {
        longest(SHORT_MS / 1000.0);
        Sockets.Client client = sockets.start(folder, "").client();
        longest(3);
        sockets.config(folder, "");
        sockets.signal("HUP");
        sockets.awaitLog(folder, "configuration read again");
        client.send("C.GET", "00000000000000aa", "id", "c=read,d=3000");
        sockets.cache.next(); // never answered
        Thread.sleep(msBefore);
        sockets.signal("TERM");
        CompletableFuture.delayedExecutor(SHORT_MS + KILL_MORE_MS, TimeUnit.MILLISECONDS).execute(sockets.program::destroyForcibly);
        assertThat(client.answer()).matches("-ERR failed|-BUSY.*");
    }
}
