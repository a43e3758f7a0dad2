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
    private static final int WARM_LEAST = 75;
    private static final int COLD_MOST = 65;

    @TempDir
    Path folder;
    private Sockets sockets;
    private Sockets.Peer second;

    @BeforeEach
    void prepare() throws Exception {
        sockets = new Sockets();
        second = new Sockets.Peer();
        sockets.cache.always = Sockets.hit("first");
        second.always = Sockets.hit("second");
    }

    @AfterEach
    void end() throws Exception {
        second.close();
        sockets.close();
    }

    private String listOf(int version, boolean whole, long bootMs) {
        String all = Sockets.entry("s-1", sockets.cache, "m", "ready") + "," + Sockets.entry("s-0", sockets.origin, "origin", "ready") + ",";
        String entry = Sockets.entry("s-2", second, "m", "ready").replace("\"boot_ms\":0", "\"boot_ms\":" + bootMs);
        return Sockets.ok("{\"rev\":" + version + ",\"all\":" + whole + ",\"targets\":[" + (whole ? all : "") + entry + "]}");
    }

    /** Sends queries and counts those that the second cache answers. */
    private int countAtSecond(Sockets.Client client) throws Exception {
        int count = 0;
        for (int i = 0; i < KEYS; i++) {
            client.send("C.GET", String.format("%016x", 0x9e3779b97f4a7c15L * i), "id" + System.nanoTime(), "c=read,d=5000");
            count += client.answer().equals("second") ? 1 : 0;
        }
        return count;
    }

    private Sockets.Client afterNews(Sockets.Client client, String list) throws Exception {
        sockets.list.next().answer(list);
        sockets.awaitLog(folder, "node s-2 is");
        client.send("PING"); // read after the list
        assertThat(client.answer()).isEqualTo("+PONG");
        return client;
    }

    @Test
    void aCacheThatIsNewInTheWatchIsColdThoughTheProxysClockIsAnHourAhead() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        assertThat(countAtSecond(afterNews(client, listOf(2, false, System.currentTimeMillis() - HOUR_MS)))).isLessThan(COLD_MOST);
    }

    @Test
    void aCacheThatIsNewInTheWatchIsWarmInTimeThoughTheProxysClockIsAnHourBehind() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        afterNews(client, listOf(2, false, System.currentTimeMillis() + HOUR_MS));
        TimeUnit.MILLISECONDS.sleep(5500); // warm after 5 s
        assertThat(countAtSecond(sockets.client())).isGreaterThan(WARM_LEAST);
    }

    /** The first list of a process contains a cold cache next to one that started long before. */
    @Test
    void aColdCacheInTheFirstListIsColdThoughTheProxysClockIsAnHourAhead() throws Exception {
        sockets.list.first = listOf(2, true, System.currentTimeMillis() - HOUR_MS);
        assertThat(countAtSecond(sockets.start(folder, "").client())).isLessThan(COLD_MOST);
    }
}
