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
class KillDelayTest {
    private static final long KILL_MARGIN_MS = 700;
    private static final long SHORT_MS = 300;

    @TempDir
    Path folder;
    private ServeFixture fixture;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
    }

    @AfterEach
    void end() throws Exception {
        fixture.close();
    }

    private void setTimeouts(double seconds) {
        fixture.grades = "{\"name\":\"read\",\"semantics\":\"read_like\",\"sloTimeS\":" + seconds + ",\"statementTimeoutS\":" + seconds + "}";
    }

    /** SIGHUP shortens the timeouts around SIGTERM, in several orders; the kill may follow the new or the previous timeouts. */
    @ParameterizedTest
    @ValueSource(strings = {"HUP TERM", "TERM HUP", "HUP TERM HUP TERM", "TERM HUP TERM HUP"})
    void reloadNextToSigtermLosesNoAnswer(String signals) throws Exception {
        setTimeouts(3);
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id", "c=read,d=3000");
        fixture.cache.next(); // never answered
        setTimeouts(SHORT_MS / 1000.0);
        fixture.config(folder, "");
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> {
            try {
                return client.answer();
            } catch (java.io.IOException e) {
                return e.toString();
            }
        });
        for (String signal : signals.split(" ")) {
            fixture.signal(signal);
            if (signal.equals("TERM")) {
                CompletableFuture.delayedExecutor(SHORT_MS + KILL_MARGIN_MS, TimeUnit.MILLISECONDS).execute(fixture.program::destroyForcibly);
            }
        }
        assertThat(answer.get(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).matches("-ERR failed|-BUSY.*");
    }

    /** The timeouts have just become longer, and the kill may still follow the shorter ones. */
    @ParameterizedTest
    @ValueSource(longs = {0, 500})
    void longerTimeoutsJustBeforeSigtermLoseNoAnswer(long msBefore) throws Exception {
        setTimeouts(SHORT_MS / 1000.0);
        ServeFixture.Client client = fixture.start(folder, "").client();
        setTimeouts(3);
        fixture.config(folder, "");
        fixture.signal("HUP");
        fixture.awaitLog(folder, "configuration read again");
        client.send("C.GET", "00000000000000aa", "id", "c=read,d=3000");
        fixture.cache.next(); // never answered
        Thread.sleep(msBefore);
        fixture.signal("TERM");
        CompletableFuture.delayedExecutor(SHORT_MS + KILL_MARGIN_MS, TimeUnit.MILLISECONDS).execute(fixture.program::destroyForcibly);
        assertThat(client.answer()).matches("-ERR failed|-BUSY.*");
    }
}
