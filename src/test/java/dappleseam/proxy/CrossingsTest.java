package dappleseam.proxy;

import static dappleseam.proxy.Sockets.ok;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.ConnectException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Answers and ends that come at the wrong instant, each forced over sockets; docs/races.md has them all. */
class CrossingsTest {
    private static final String MISS = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
    private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

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

    /** After these the program has read what had come on its other connections before. */
    private static void turnTheLoop(Sockets.Client client) throws Exception {
        for (int i = 0; i < 2; i++) {
            client.send("PING");
            assertThat(client.answer()).isEqualTo("+PONG");
        }
    }

    private static void reset(Socket socket) throws Exception {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** brink zone and split: part of a value passed for the whole, as a reset was taken for the end of its body. */
    @Test
    void aResetIsNoEndOfABodyWithoutALength() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        sockets.cache.next().answer(MISS);
        Sockets.Told asked = sockets.origin.next();
        asked.answer(NO_LENGTH + "half");
        turnTheLoop(sockets.client());
        reset(asked.from());
        sockets.origin.next().answer(ok("whole"));
        assertThat(client.answer()).isEqualTo("whole");
    }

    @Test
    void anOrderlyEndIsTheEndOfABodyWithoutALength() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        sockets.cache.next().answer(MISS);
        Sockets.Told asked = sockets.origin.next();
        asked.answer(NO_LENGTH + "whole");
        asked.from().shutdownOutput();
        assertThat(client.answer()).isEqualTo("whole");
    }

    /** brink, all days: nearly each further execution told the origin all of the client's time, long after it had begun. */
    @Test
    void theOriginIsToldTheTimeThatIsLeft() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        Sockets.Told atCache = sockets.cache.next();
        long from = System.nanoTime();
        Thread.sleep(300); // what is told is about this time
        long gone = (System.nanoTime() - from) / 1_000_000;
        atCache.answer(MISS);
        assertThat(toldMs(sockets.origin.next())).isBetween(1000L, 9000 - gone);
    }

    private static String nothingNew(int version) {
        return ok("{\"rev\":" + version + ",\"all\":false,\"targets\":[]}");
    }

    private String drains(int version) {
        return "{\"rev\":" + version + ",\"all\":false,\"targets\":[" + Sockets.entry("s-1", sockets.cache, "m", "draining") + "]}";
    }

    private void assertNothingGoesToTheCache(Sockets.Client client) throws Exception {
        client.send("C.GET", "00000000000000aa", "id" + System.nanoTime(), "c=read,d=9000");
        sockets.origin.next().answer(ok("from the origin"));
        assertThat(client.answer()).isEqualTo("from the origin");
        assertThat(sockets.cache.told).isEmpty();
    }

    /** brink calm: drains came while all watches were silent, and went unheard for 23 s; they count as told after 6 s. */
    @Test
    void aWatchThatFallsSilentIsOpenedAnewWithinTheTimeAfterWhichAChangeCountsAsTold() throws Exception {
        sockets.start(folder, "");
        Sockets.Told silent = sockets.list.next();
        long from = System.nanoTime();
        Sockets.Told anew = sockets.list.next();
        assertThat((System.nanoTime() - from) / 1e9).isLessThan(5);
        assertThat(anew.from()).isNotSameAs(silent.from());
        anew.answer(ok(drains(2)));
        sockets.list.next();
        assertNothingGoesToTheCache(sockets.client());
    }

    /** brink join: watches were reset just before a drain, and the back-off of a failed call came on top. */
    @Test
    void aWatchThatIsResetIsOpenedAnewWithNoBackOff() throws Exception {
        sockets.start(folder, "");
        reset(sockets.list.next().from());
        sockets.list.next().answer(ok(drains(2)));
        sockets.list.next();
        assertNothingGoesToTheCache(sockets.client());
        assertThat(Files.readString(folder.resolve("log"))).contains("the watch is opened anew")
                .doesNotContain("list: a call failed");
    }

    /** A list in pieces, and indented, is a list; what comes behind it on the connection is of no use. */
    @Test
    void aListComesInPiecesAndWithMoreBehindIt() throws Exception {
        sockets.list.first = null;
        sockets.start(folder, "");
        Sockets.Told first = sockets.list.next();
        String answer = ok(drains(2).replace("\":", "\" : ").replace(",\"", ",\r\n\t\""));
        for (int at = 0; at < answer.length(); at += 40) {
            first.answer(answer.substring(at, Math.min(answer.length(), at + 40)));
            Thread.sleep(1); // pieces of their own, most of them
        }
        Sockets.Told second = sockets.list.next();
        assertThat(second.words().get(0)).startsWith("GET /registry/instances?from=2&hold_ms=");
        second.answer(nothingNew(3) + nothingNew(4));
        Sockets.Told third = sockets.list.next();
        assertThat(third.from()).isNotSameAs(second.from());
        assertThat(third.words().get(0)).startsWith("GET /registry/instances?from=3&hold_ms=");
        assertNothingGoesToTheCache(sockets.client());
    }

    /** What the list service had before a process began counts as told from its first moment, or six seconds later. */
    @Test
    void aNewProcessServesNobodyBeforeItsFirstList() throws Exception {
        sockets.list.first = null;
        sockets.start(folder, "");
        Sockets.Told first = sockets.list.next();
        assertThatThrownBy(() -> new Socket("127.0.0.1", sockets.port)).isInstanceOf(ConnectException.class);
        first.answer(ok(drains(2)));
        assertNothingGoesToTheCache(sockets.client());
    }

    /** The list has a descriptor of its own: nodes may hold all others. */
    @Test
    void theListIsFollowedWhileNodesHoldAllConnections() throws Exception {
        sockets.sockets = 96;
        sockets.start(folder, "");
        Sockets.Told watch = sockets.list.next();
        Sockets.Client writer = sockets.client();
        for (int i = 0; i < 23; i++) {
            writer.send("C.SET", "00000000000000cc", "w" + i, "c=put,d=20000", "v");
            sockets.origin.next();
        }
        writer.send("C.SET", "00000000000000cc", "one-more", "c=put,d=20000", "v");
        reset(watch.from());
        assertThat(sockets.list.next().words().get(0)).startsWith("GET /registry/instances?from=1&hold_ms=");
        assertThat(sockets.origin.told).isEmpty();
    }

    private static long toldMs(Sockets.Told asked) {
        Matcher told = Pattern.compile("\\bd=(\\d+)").matcher(String.join(" ", asked.words()));
        assertThat(told.find()).isTrue();
        return Long.parseLong(told.group(1));
    }
}
