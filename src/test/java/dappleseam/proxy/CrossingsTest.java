package dappleseam.proxy;

import static dappleseam.proxy.Sockets.MISS;
import static dappleseam.proxy.Sockets.hit;
import static dappleseam.proxy.Sockets.nothingNew;
import static dappleseam.proxy.Sockets.ok;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Races between answers, connection ends and signals, each forced over sockets; docs/races.md lists them all. */
class CrossingsTest {
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

    /** Afterwards the program has read everything that arrived earlier on its other connections. */
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

    /** A connection reset must not count as the end of a body without a length: part of a value would be returned as the whole. */
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

    /** A further execution must send the time that remains of the client's timeout, not all of it. */
    @Test
    void theOriginIsToldTheTimeThatIsLeft() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        Sockets.Told atCache = sockets.cache.next();
        long from = System.nanoTime();
        Thread.sleep(300); // the timeout sent to the origin must be shorter by at least this time
        long gone = (System.nanoTime() - from) / 1_000_000;
        atCache.answer(MISS);
        assertThat(toldMs(sockets.origin.next())).isBetween(1000L, 9000 - gone);
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

    /** A watch that stops answering without closing delayed drains by 23 s; a change counts as known to the proxy after 6 s. */
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

    /** When watches are reset just before a drain, the back-off after a failed request must not add to the delay. */
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

    /** A list is read in pieces and with white space; bytes after it on the connection are dropped. */
    @Test
    void aListComesInPiecesAndWithMoreBehindIt() throws Exception {
        sockets.list.first = null;
        sockets.start(folder, "");
        Sockets.Told first = sockets.list.next();
        String answer = ok(drains(2).replace("\":", "\" : ").replace(",\"", ",\r\n\t\""));
        for (int at = 0; at < answer.length(); at += 40) {
            first.answer(answer.substring(at, Math.min(answer.length(), at + 40)));
            Thread.sleep(1); // so that most are read separately
        }
        Sockets.Told second = sockets.list.next();
        assertThat(second.words().get(0)).startsWith("GET /registry/instances?from=2&hold_ms=");
        second.answer(nothingNew(3) + nothingNew(4));
        Sockets.Told third = sockets.list.next();
        assertThat(third.from()).isNotSameAs(second.from());
        assertThat(third.words().get(0)).startsWith("GET /registry/instances?from=3&hold_ms=");
        assertNothingGoesToTheCache(sockets.client());
    }

    /** Changes made before a process started count as known from its start, or 6 s later, so it needs the list before it serves. */
    @Test
    void aNewProcessServesNobodyBeforeItsFirstList() throws Exception {
        sockets.list.first = null;
        sockets.start(folder, "");
        Sockets.Told first = sockets.list.next();
        sockets.awaitLog(folder, "waiting for the first list"); // everything else is ready
        assertThatThrownBy(() -> new Socket("127.0.0.1", sockets.port)).isInstanceOf(ConnectException.class);
        first.answer(ok(drains(2)));
        assertNothingGoesToTheCache(sockets.client());
    }

    /** The list service has a reserved descriptor, while nodes may use all others. */
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

    /** Clients that pipeline many queries and close: an answer that arrives at the same moment as the close must not start a further execution. */
    @Test
    void noFurtherExecutionBeginsForAClientThatHasClosed() throws Exception {
        sockets.start(folder, ",\"streamsPerConn\":1");
        List<Sockets.Told> asked = new ArrayList<>();
        List<Sockets.Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Sockets.Client client = sockets.client();
            client.send("C.GET", "00000000000000a" + i, "id" + i, "c=read,d=9000");
            asked.add(sockets.cache.next());
            clients.add(client);
        }
        Sockets.Client other = sockets.client();
        turnTheLoop(other);
        sockets.signal("STOP"); // all that is sent now is read at once, in no particular order
        for (Sockets.Told one : asked) {
            one.answer(MISS);
        }
        for (Sockets.Client client : clients) {
            client.socket.close();
        }
        sockets.signal("CONT");
        turnTheLoop(other);
        turnTheLoop(other);
        assertThat(sockets.origin.told).isEmpty();
    }

    /** A query that arrives together with its client's close is not forwarded. */
    @Test
    void aQueryWhoseClientHasClosedBehindItIsNotSentOn() throws Exception {
        sockets.start(folder, "");
        List<Sockets.Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(sockets.client());
        }
        Sockets.Client other = sockets.client();
        turnTheLoop(other);
        sockets.signal("STOP");
        for (int i = 0; i < 8; i++) {
            clients.get(i).send("C.GET", "00000000000000a" + i, "id" + i, "c=read,d=9000");
            clients.get(i).socket.close();
        }
        sockets.signal("CONT");
        turnTheLoop(other);
        other.send("C.GET", "00000000000000aa", "last", "c=read,d=9000");
        assertThat(sockets.cache.next().words()).contains("last");
        assertThat(sockets.cache.told).isEmpty();
    }

    /** A peer that accepts connections only when the test lets it: its listen backlog is full. */
    private final class Late implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> fillers = new ArrayList<>();

        Late() throws Exception {}

        String endpoint() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        void fill() throws Exception {
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket("127.0.0.1", server.getLocalPort()));
            }
        }

        void emptyQueue() throws Exception {
            for (Socket filler : fillers) {
                server.accept();
            }
        }

        /** Accepts the next connection other than those that filled the backlog. */
        Socket accept() throws Exception {
            Set<Integer> own = fillers.stream().map(Socket::getLocalPort).collect(Collectors.toSet());
            server.setSoTimeout((int) (1000 * Sockets.PATIENCE_S));
            Socket socket = server.accept();
            while (own.contains(socket.getPort())) {
                socket = server.accept();
            }
            socket.setSoTimeout((int) (1000 * Sockets.PATIENCE_S));
            return socket;
        }

        /** The first message received on any connection. */
        Sockets.Told next() throws Exception {
            while (true) {
                Socket socket = accept();
                try {
                    return new Sockets.Told(Sockets.message(new BufferedInputStream(socket.getInputStream()), true), socket);
                } catch (IOException e) {
                    // a connection on which nothing was sent
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** Starts the program with the delayed peer's endpoint in place of one of its peers. */
    private void startWith(Sockets.Peer peer, Late late, String more, String firstList) throws Exception {
        sockets.start(folder, more).client();
        sockets.program.destroyForcibly().waitFor();
        Path config = folder.resolve("config.json");
        Files.writeString(config, Files.readString(config).replace(peer.endpoint(), late.endpoint()));
        sockets.list.first = firstList;
        sockets.program = sockets.launch(folder, config);
    }

    /** A connection that is established after its query's client has left carries the next query instead. */
    @Test
    void aWaitingQueryWhoseClientLeftIsNeverSentOn() throws Exception {
        try (Late late = new Late()) {
            startWith(sockets.cache, late, ",\"mayCancel\":false", nothingNew(1));
            Sockets.Client client = sockets.client();
            turnTheLoop(client);
            late.fill();
            client.send("C.GET", "00000000000000aa", "left", "c=read,d=9000");
            Sockets.Client other = sockets.client();
            turnTheLoop(other);
            client.socket.close();
            turnTheLoop(other);
            other.send("C.GET", "00000000000000aa", "stays", "c=read,d=9000");
            turnTheLoop(sockets.client());
            Sockets.Told first = late.next();
            assertThat(first.words()).contains("stays");
            first.answer(hit("value"));
            assertThat(other.answer()).isEqualTo("value");
        }
    }

    /**
     * When a connection is established, the check whether its client is still there may read the client's next query. With one query per
     * connection that query must use another connection.
     */
    @Test
    void aQueryThatIsReadAsAConnectionComesUpIsNotSentOnIt() throws Exception {
        try (Late late = new Late()) {
            startWith(sockets.cache, late, ",\"streamsPerConn\":1", nothingNew(1));
            Sockets.Client client = sockets.client();
            turnTheLoop(client);
            late.fill();
            client.send("C.GET", "00000000000000aa", "first", "c=read,d=9000");
            turnTheLoop(sockets.client());
            sockets.signal("STOP");
            late.emptyQueue();
            Socket cameUp = late.accept();
            client.send("C.GET", "00000000000000ab", "second", "c=read,d=9000");
            sockets.signal("CONT");
            List<String> one = Sockets.message(new BufferedInputStream(cameUp.getInputStream()), true);
            List<String> other = late.next().words();
            assertThat(List.of(one.get(2), other.get(2))).containsExactlyInAnyOrder("first", "second");
        }
    }

    /** Rule 3: an execution that waits for a connection to a node that starts to drain goes elsewhere, and is not sent when the connection is established. */
    @Test
    void aDrainEndsWhatWaitsForAConnection() throws Exception {
        try (Late late = new Late()) {
            startWith(sockets.cache, late, "", nothingNew(1));
            Sockets.Client client = sockets.client();
            turnTheLoop(client);
            late.fill();
            client.send("C.GET", "00000000000000aa", "waits", "c=read,d=9000");
            turnTheLoop(sockets.client());
            String there = Sockets.entry("s-1", sockets.cache, "m", "draining").replace(sockets.cache.endpoint(), late.endpoint());
            nextWatch().answer(ok("{\"rev\":2,\"all\":false,\"targets\":[" + there + "]}"));
            Sockets.Told told = nextWatch();
            late.emptyQueue(); // the connection is established at the system's retry, after 1 s
            sockets.origin.next().answer(ok("elsewhere"));
            assertThat(client.answer()).isEqualTo("elsewhere");
            told.answer(ok("{\"rev\":3,\"all\":false,\"targets\":[" + there.replace("draining", "ready") + "]}"));
            nextWatch();
            client.send("C.GET", "00000000000000aa", "later", "c=read,d=9000");
            assertThat(late.next().words()).contains("later");
        }
    }

    /** The long poll that is open now; earlier ones may have timed out. */
    private Sockets.Told nextWatch() throws Exception {
        Sockets.Told watch = sockets.list.next();
        for (Sockets.Told later = sockets.list.told.poll(); later != null; later = sockets.list.told.poll()) {
            watch = later.words().get(0).equals("closed") ? watch : later;
        }
        return watch;
    }

    /** Rule 1: a copy whose connection is established after the query is answered is not sent. */
    @Test
    void nothingIsSentForAQueryOnceItIsAnswered() throws Exception {
        sockets.grades = "{\"name\":\"quick\",\"semantics\":\"read_like\",\"sloTimeS\":0.4,\"tardyImportance\":0.5,\"statementTimeoutS\":9},"
                + sockets.grades;
        try (Late late = new Late()) {
            startWith(sockets.cache, late, ",\"mayCancel\":false", ok("{\"rev\":2,\"all\":false,\"targets\":["
                    + Sockets.entry("s-2", sockets.cache, "m", "ready").replace(sockets.cache.endpoint(), late.endpoint()) + "]}"));
            Sockets.Client client = sockets.client();
            turnTheLoop(client);
            late.fill();
            client.send("C.GET", "00000000000000aa", "answered", "c=quick,d=9000");
            sockets.origin.next().answer(ok("copy")); // the second copy, sent after 0.6 of the SLO time
            assertThat(client.answer()).isEqualTo("copy");
            client.send("C.GET", "00000000000000bb", "next", "c=read,d=9000");
            assertThat(late.next().words()).contains("next");
        }
    }

    /** Rule 2: a repeat whose connection is established after the nodes' deduplication window is not sent. */
    @Test
    void aRepeatIsNotSentPastItsWindow() throws Exception {
        sockets.grades = "{\"name\":\"put\",\"semantics\":\"idempotency_key\",\"group\":\"all\",\"windowS\":0.6,"
                + "\"sloTimeS\":9,\"statementTimeoutS\":9}";
        try (Late late = new Late()) {
            startWith(sockets.origin, late, "", nothingNew(1));
            Sockets.Client client = sockets.client();
            client.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000,k=7", "v");
            Sockets.Told first = late.next();
            assertThat(first.words()).anyMatch(line -> line.contains("w1"));
            late.fill();
            reset(first.from());
            turnTheLoop(sockets.client()); // by now it reconnects; the connection is established at the system's retry, after 1 s
            late.emptyQueue();
            assertThat(client.answer()).startsWith("-ERR");
            client.send("C.SET", "00000000000000aa", "w2", "c=put,d=9000,k=8", "v");
            assertThat(late.next().words()).anyMatch(line -> line.contains("w2"));
        }
    }

    /** A duplicate answer may come some ms late and was taken for the answer to the next query on the connection. */
    @Test
    void rightBehindAnAnswerNoOtherIsAskedWhereSomeWereSpoilt() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "spoilt", "c=read,d=9000");
        sockets.cache.next().answer("noise\r\n");
        sockets.origin.next().answer(ok("value"));
        assertThat(client.answer()).isEqualTo("value");
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        Sockets.Told asked = sockets.cache.next();
        sockets.signal("STOP");
        asked.answer(hit("one"));
        client.send("C.GET", "00000000000000aa", "id2", "c=read,d=9000");
        sockets.signal("CONT");
        assertThat(client.answer()).isEqualTo("one");
        Sockets.Told next = sockets.cache.next();
        assertThat(next.from()).isNotSameAs(asked.from());
        asked.answer(hit("one"));
        next.answer(hit("two"));
        assertThat(client.answer()).isEqualTo("two");
    }

    /** All accepted queries are answered, whatever signals come: SIGTERM twice and SIGHUP, while pipelined commands are partly answered. */
    @Test
    void pipelinedCommandsHalfAnsweredAtSigtermAreAllAnswered() throws Exception {
        Sockets.Client client = sockets.start(folder, ",\"streamsPerConn\":1").client();
        Sockets.Client resting = sockets.client();
        turnTheLoop(resting);
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        client.send("C.GET", "00000000000000bb", "id2", "c=read,d=9000");
        client.send("C.GET", "00000000000000cc", "id3", "c=read,d=9000");
        client.raw("*4\r\n$5\r\nC.GET\r\n$16\r\n00000000"); // and half of a fourth
        Map<String, Sockets.Told> asked = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            Sockets.Told next = sockets.cache.next();
            asked.put(next.words().get(2), next);
        }
        asked.get("id1").answer(hit("one"));
        assertThat(client.answer()).isEqualTo("one");
        sockets.signal("TERM");
        sockets.signal("HUP");
        sockets.signal("TERM");
        sockets.awaitLog(folder, "told to end");
        client.raw("000000dd\r\n$3\r\nid4\r\n$13\r\nc=read,d=9000\r\n");
        asked.get("id2").answer(hit("two"));
        assertThat(client.answer()).isEqualTo("two");
        Sockets.Told fourth = sockets.cache.next();
        assertThat(fourth.words()).contains("id4");
        fourth.answer(hit("four"));
        assertThat(client.answer()).startsWith("-"); // the third is never answered by a node, and is aborted shortly before the kill
        assertThat(client.answer()).isEqualTo("four");
        assertThat(client.isAtEnd()).isTrue();
        assertThat(resting.isAtEnd()).isTrue();
        assertThat(sockets.program.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        assertThat(sockets.program.exitValue()).isZero();
    }

    /** A value that is partly forwarded at shutdown must not look complete. */
    @Test
    void aValueHalfPassedOnAtTheEndIsNotWhole() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        Sockets.Told asked = sockets.cache.next();
        asked.answer("*3\r\n$1000000\r\n" + "v".repeat(300_000));
        assertThat(new String(client.bytes(10), StandardCharsets.US_ASCII)).isEqualTo("$1000000\r\n");
        sockets.signal("TERM");
        assertThat(client.rest()).hasSizeLessThan(1_000_000);
        assertThat(sockets.program.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        assertThat(sockets.program.exitValue()).isZero();
    }

    /** SIGTERM before the process serves ends it at once, without accepting anything. */
    @Test
    void sigtermDuringTheStartEndsIt() throws Exception {
        sockets.list.first = null;
        sockets.start(folder, "");
        sockets.list.next(); // the process waits for the answer
        sockets.signal("TERM");
        assertThat(sockets.program.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        assertThat(sockets.program.exitValue()).isZero();
        assertThatThrownBy(() -> new Socket("127.0.0.1", sockets.port)).isInstanceOf(ConnectException.class);
    }

    /** The first client's query is answered even if SIGTERM arrives together with it. */
    @Test
    void theFirstQueryIsAnsweredThoughSigtermComesWithIt() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        sockets.signal("TERM");
        sockets.cache.next().answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
    }

    /** Idle clients use up their descriptors while the list service is down: the descriptors for the list and nodes stay available. */
    @Test
    void idleClientsThatFillTheDescriptorsLeaveListAndNodesTheirs() throws Exception {
        sockets.sockets = 96;
        sockets.start(folder, "");
        Sockets.Told watch = sockets.list.next();
        List<Sockets.Client> idle = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            idle.add(sockets.client());
        }
        reset(watch.from());
        for (int i = 0; i < 2; i++) {
            sockets.list.next().answer("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        }
        sockets.list.next().answer(nothingNew(2));
        assertThat(sockets.list.next().words().get(0)).startsWith("GET /registry/instances?from=2&hold_ms=");
        Sockets.Client asking = sockets.client();
        asking.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        sockets.cache.next().answer(hit("value"));
        assertThat(asking.answer()).isEqualTo("value");
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("no descriptor left");
    }

    private static long toldMs(Sockets.Told asked) {
        Matcher told = Pattern.compile("\\bd=(\\d+)").matcher(String.join(" ", asked.words()));
        assertThat(told.find()).isTrue();
        return Long.parseLong(told.group(1));
    }
}
