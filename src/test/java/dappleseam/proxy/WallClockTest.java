package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Cold caches are recognised even if the wall clocks of the proxy and the list service differ by an hour, either way, as after a clock step. */
class WallClockTest {
    private static final long HOUR_MS = 3_600_000;
    private static final int KEYS = 200;
    /** Of {@link #KEYS} keys a warm cache next to another one owns about half; a cold one gets half of that, or less. */
    private static final int MIN_WARM = 75;
    private static final int MAX_COLD = 65;

    @TempDir
    Path folder;
    private ServeFixture fixture;
    private ServeFixture.StubPeer second;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        second = new ServeFixture.StubPeer();
        fixture.cache.constantAnswer = ServeFixture.hit("first");
        second.constantAnswer = ServeFixture.hit("second");
    }

    @AfterEach
    void end() throws Exception {
        second.close();
        fixture.close();
    }

    private String listAnswer(int version, boolean full, long bootMs) {
        String all = ServeFixture.entry("s-1", fixture.cache, "m", "ready") + "," + ServeFixture.entry("s-0", fixture.origin, "origin", "ready") + ",";
        String entry = ServeFixture.entry("s-2", second, "m", "ready").replace("\"boot_ms\":0", "\"boot_ms\":" + bootMs);
        return ServeFixture.ok("{\"rev\":" + version + ",\"all\":" + full + ",\"targets\":[" + (full ? all : "") + entry + "]}");
    }

    /** Sends queries and counts those that the second cache answers. */
    private int countAtSecond(ServeFixture.Client client) throws Exception {
        int count = 0;
        for (int i = 0; i < KEYS; i++) {
            client.send("C.GET", String.format("%016x", 0x9e3779b97f4a7c15L * i), "id" + System.nanoTime(), "c=read,d=5000");
            count += client.answer().equals("second") ? 1 : 0;
        }
        return count;
    }

    private ServeFixture.Client applyList(ServeFixture.Client client, String list) throws Exception {
        fixture.list.next().answer(list);
        fixture.awaitLog(folder, "node s-2 is");
        client.send("PING"); // read after the list
        assertThat(client.answer()).isEqualTo("+PONG");
        return client;
    }

    @Test
    void newCacheInTheWatchIsColdWithTheProxyClockAnHourAhead() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        assertThat(countAtSecond(applyList(client, listAnswer(2, false, System.currentTimeMillis() - HOUR_MS)))).isLessThan(MAX_COLD);
    }

    @Test
    void newCacheInTheWatchWarmsUpWithTheProxyClockAnHourBehind() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        applyList(client, listAnswer(2, false, System.currentTimeMillis() + HOUR_MS));
        TimeUnit.MILLISECONDS.sleep(5500); // warm after 5 s
        assertThat(countAtSecond(fixture.client())).isGreaterThan(MIN_WARM);
    }

    /** The first list of a process contains a cold cache next to one that started long before. */
    @Test
    void coldCacheInTheFirstListIsColdWithTheProxyClockAnHourAhead() throws Exception {
        fixture.list.firstAnswer = listAnswer(2, true, System.currentTimeMillis() - HOUR_MS);
        assertThat(countAtSecond(fixture.start(folder, "").client())).isLessThan(MAX_COLD);
    }
}
