package dappleseam.proxy;

import static dappleseam.proxy.ServeFixture.MISS;
import static dappleseam.proxy.ServeFixture.hit;
import static dappleseam.proxy.ServeFixture.unchangedList;
import static dappleseam.proxy.ServeFixture.ok;
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
class RaceConditionsTest {
    private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

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

    /** Afterwards the program has read everything that arrived earlier on its other connections. */
    private static void awaitLoopTurn(ServeFixture.Client client) throws Exception {
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
    void resetDoesNotEndABodyWithoutLength() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        fixture.cache.next().answer(MISS);
        ServeFixture.Received incoming = fixture.origin.next();
        incoming.answer(NO_LENGTH + "half");
        awaitLoopTurn(fixture.client());
        reset(incoming.connection());
        fixture.origin.next().answer(ok("whole"));
        assertThat(client.answer()).isEqualTo("whole");
    }

    @Test
    void orderlyCloseEndsABodyWithoutLength() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        fixture.cache.next().answer(MISS);
        ServeFixture.Received incoming = fixture.origin.next();
        incoming.answer(NO_LENGTH + "whole");
        incoming.connection().shutdownOutput();
        assertThat(client.answer()).isEqualTo("whole");
    }

    /** A further execution must send the time that remains of the client's timeout, not all of it. */
    @Test
    void originReceivesTheRemainingTime() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received atCache = fixture.cache.next();
        long from = System.nanoTime();
        Thread.sleep(300); // the timeout sent to the origin must be shorter by at least this time
        long elapsedMs = (System.nanoTime() - from) / 1_000_000;
        atCache.answer(MISS);
        assertThat(timeoutSentMs(fixture.origin.next())).isBetween(1000L, 9000 - elapsedMs);
    }

    private String drainingList(int version) {
        return "{\"rev\":" + version + ",\"all\":false,\"targets\":[" + ServeFixture.entry("s-1", fixture.cache, "m", "draining") + "]}";
    }

    private void assertNothingGoesToTheCache(ServeFixture.Client client) throws Exception {
        client.send("C.GET", "00000000000000aa", "id" + System.nanoTime(), "c=read,d=9000");
        fixture.origin.next().answer(ok("from the origin"));
        assertThat(client.answer()).isEqualTo("from the origin");
        assertThat(fixture.cache.received).isEmpty();
    }

    /** A watch that stops answering without closing delayed drains by 23 s; a change counts as known to the proxy after 6 s. */
    @Test
    void silentWatchIsReopenedBeforeAChangeCountsAsKnown() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Received silent = fixture.list.next();
        long from = System.nanoTime();
        ServeFixture.Received reopened = fixture.list.next();
        assertThat((System.nanoTime() - from) / 1e9).isLessThan(5);
        assertThat(reopened.connection()).isNotSameAs(silent.connection());
        reopened.answer(ok(drainingList(2)));
        fixture.list.next();
        assertNothingGoesToTheCache(fixture.client());
    }

    /** When watches are reset just before a drain, the back-off after a failed request must not add to the delay. */
    @Test
    void resetWatchIsReopenedWithoutBackOff() throws Exception {
        fixture.start(folder, "");
        reset(fixture.list.next().connection());
        fixture.list.next().answer(ok(drainingList(2)));
        fixture.list.next();
        assertNothingGoesToTheCache(fixture.client());
        assertThat(Files.readString(folder.resolve("log"))).contains("the watch is opened anew")
                .doesNotContain("list: a call failed");
    }

    /** A list is read in pieces and with white space; bytes after it on the connection are dropped. */
    @Test
    void listIsReadInPiecesAndTrailingBytesAreDropped() throws Exception {
        fixture.list.firstAnswer = null;
        fixture.start(folder, "");
        ServeFixture.Received first = fixture.list.next();
        String answer = ok(drainingList(2).replace("\":", "\" : ").replace(",\"", ",\r\n\t\""));
        for (int at = 0; at < answer.length(); at += 40) {
            first.answer(answer.substring(at, Math.min(answer.length(), at + 40)));
            Thread.sleep(1); // so that most are read separately
        }
        ServeFixture.Received second = fixture.list.next();
        assertThat(second.elements().get(0)).startsWith("GET /registry/instances?from=2&hold_ms=");
        second.answer(unchangedList(3) + unchangedList(4));
        ServeFixture.Received third = fixture.list.next();
        assertThat(third.connection()).isNotSameAs(second.connection());
        assertThat(third.elements().get(0)).startsWith("GET /registry/instances?from=3&hold_ms=");
        assertNothingGoesToTheCache(fixture.client());
    }

    /** Changes made before a process started count as known from its start, or 6 s later, so it needs the list before it serves. */
    @Test
    void newProcessDoesNotServeBeforeItsFirstList() throws Exception {
        fixture.list.firstAnswer = null;
        fixture.start(folder, "");
        ServeFixture.Received first = fixture.list.next();
        fixture.awaitLog(folder, "waiting for the first list"); // everything else is ready
        assertThatThrownBy(() -> new Socket("127.0.0.1", fixture.port)).isInstanceOf(ConnectException.class);
        first.answer(ok(drainingList(2)));
        assertNothingGoesToTheCache(fixture.client());
    }

    /** The list service has a reserved descriptor, while nodes may use all others. */
    @Test
    void listIsFollowedWhileNodesUseAllConnections() throws Exception {
        fixture.descriptorLimit = 96;
        fixture.start(folder, "");
        ServeFixture.Received watch = fixture.list.next();
        ServeFixture.Client writer = fixture.client();
        for (int i = 0; i < 23; i++) {
            writer.send("C.SET", "00000000000000cc", "w" + i, "c=put,d=20000", "v");
            fixture.origin.next();
        }
        writer.send("C.SET", "00000000000000cc", "one-more", "c=put,d=20000", "v");
        reset(watch.connection());
        assertThat(fixture.list.next().elements().get(0)).startsWith("GET /registry/instances?from=1&hold_ms=");
        assertThat(fixture.origin.received).isEmpty();
    }

    /** Clients that pipeline many queries and close: an answer that arrives at the same moment as the close must not start a further execution. */
    @Test
    void noFurtherExecutionForAClosedClient() throws Exception {
        fixture.start(folder, ",\"streamsPerConn\":1");
        List<ServeFixture.Received> incoming = new ArrayList<>();
        List<ServeFixture.Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ServeFixture.Client client = fixture.client();
            client.send("C.GET", "00000000000000a" + i, "id" + i, "c=read,d=9000");
            incoming.add(fixture.cache.next());
            clients.add(client);
        }
        ServeFixture.Client other = fixture.client();
        awaitLoopTurn(other);
        fixture.signal("STOP"); // all that is sent now is read at once, in no particular order
        for (ServeFixture.Received one : incoming) {
            one.answer(MISS);
        }
        for (ServeFixture.Client client : clients) {
            client.socket.close();
        }
        fixture.signal("CONT");
        awaitLoopTurn(other);
        awaitLoopTurn(other);
        assertThat(fixture.origin.received).isEmpty();
    }

    /** A query that arrives together with its client's close is not forwarded. */
    @Test
    void queryOfAClosedClientIsNotForwarded() throws Exception {
        fixture.start(folder, "");
        List<ServeFixture.Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(fixture.client());
        }
        ServeFixture.Client other = fixture.client();
        awaitLoopTurn(other);
        fixture.signal("STOP");
        for (int i = 0; i < 8; i++) {
            clients.get(i).send("C.GET", "00000000000000a" + i, "id" + i, "c=read,d=9000");
            clients.get(i).socket.close();
        }
        fixture.signal("CONT");
        awaitLoopTurn(other);
        other.send("C.GET", "00000000000000aa", "last", "c=read,d=9000");
        assertThat(fixture.cache.next().elements()).contains("last");
        assertThat(fixture.cache.received).isEmpty();
    }

    /** A peer that accepts connections only when the test lets it: its listen backlog is full. */
    private final class DelayedPeer implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> fillers = new ArrayList<>();

        DelayedPeer() throws Exception {}

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
            server.setSoTimeout((int) (1000 * ServeFixture.TIMEOUT_S));
            Socket socket = server.accept();
            while (own.contains(socket.getPort())) {
                socket = server.accept();
            }
            socket.setSoTimeout((int) (1000 * ServeFixture.TIMEOUT_S));
            return socket;
        }

        /** The first message received on any connection. */
        ServeFixture.Received next() throws Exception {
            while (true) {
                Socket socket = accept();
                try {
                    return new ServeFixture.Received(ServeFixture.readMessage(new BufferedInputStream(socket.getInputStream()), true), socket);
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
    private void startWith(ServeFixture.StubPeer peer, DelayedPeer delayedPeer, String more, String firstList) throws Exception {
        fixture.start(folder, more).client();
        fixture.program.destroyForcibly().waitFor();
        Path config = folder.resolve("config.json");
        Files.writeString(config, Files.readString(config).replace(peer.endpoint(), delayedPeer.endpoint()));
        fixture.list.firstAnswer = firstList;
        fixture.program = fixture.launch(folder, config);
    }

    /** A connection that is established after its query's client has left carries the next query instead. */
    @Test
    void queuedQueryOfAClosedClientIsNeverForwarded() throws Exception {
        try (DelayedPeer delayedPeer = new DelayedPeer()) {
            startWith(fixture.cache, delayedPeer, ",\"mayCancel\":false", unchangedList(1));
            ServeFixture.Client client = fixture.client();
            awaitLoopTurn(client);
            delayedPeer.fill();
            client.send("C.GET", "00000000000000aa", "left", "c=read,d=9000");
            ServeFixture.Client other = fixture.client();
            awaitLoopTurn(other);
            client.socket.close();
            awaitLoopTurn(other);
            other.send("C.GET", "00000000000000aa", "stays", "c=read,d=9000");
            awaitLoopTurn(fixture.client());
            ServeFixture.Received first = delayedPeer.next();
            assertThat(first.elements()).contains("stays");
            first.answer(hit("value"));
            assertThat(other.answer()).isEqualTo("value");
        }
    }

    /**
     * When a connection is established, the check whether its client is still there may read the client's next query. With one query per
     * connection that query must use another connection.
     */
    @Test
    void queryReadWhileConnectingIsNotSentOnThatConnection() throws Exception {
        try (DelayedPeer delayedPeer = new DelayedPeer()) {
            startWith(fixture.cache, delayedPeer, ",\"streamsPerConn\":1", unchangedList(1));
            ServeFixture.Client client = fixture.client();
            awaitLoopTurn(client);
            delayedPeer.fill();
            client.send("C.GET", "00000000000000aa", "first", "c=read,d=9000");
            awaitLoopTurn(fixture.client());
            fixture.signal("STOP");
            delayedPeer.emptyQueue();
            Socket cameUp = delayedPeer.accept();
            client.send("C.GET", "00000000000000ab", "second", "c=read,d=9000");
            fixture.signal("CONT");
            List<String> one = ServeFixture.readMessage(new BufferedInputStream(cameUp.getInputStream()), true);
            List<String> other = delayedPeer.next().elements();
            assertThat(List.of(one.get(2), other.get(2))).containsExactlyInAnyOrder("first", "second");
        }
    }

    /** Rule 3: an execution that waits for a connection to a node that starts to drain goes elsewhere, and is not sent when the connection is established. */
    @Test
    void drainEndsExecutionsThatWaitForAConnection() throws Exception {
        try (DelayedPeer delayedPeer = new DelayedPeer()) {
            startWith(fixture.cache, delayedPeer, "", unchangedList(1));
            ServeFixture.Client client = fixture.client();
            awaitLoopTurn(client);
            delayedPeer.fill();
            client.send("C.GET", "00000000000000aa", "waits", "c=read,d=9000");
            awaitLoopTurn(fixture.client());
            String there = ServeFixture.entry("s-1", fixture.cache, "m", "draining").replace(fixture.cache.endpoint(), delayedPeer.endpoint());
            nextWatch().answer(ok("{\"rev\":2,\"all\":false,\"targets\":[" + there + "]}"));
            ServeFixture.Received openWatch = nextWatch();
            delayedPeer.emptyQueue(); // the connection is established at the system's retry, after 1 s
            fixture.origin.next().answer(ok("elsewhere"));
            assertThat(client.answer()).isEqualTo("elsewhere");
            openWatch.answer(ok("{\"rev\":3,\"all\":false,\"targets\":[" + there.replace("draining", "ready") + "]}"));
            nextWatch();
            client.send("C.GET", "00000000000000aa", "later", "c=read,d=9000");
            assertThat(delayedPeer.next().elements()).contains("later");
        }
    }

    /** The long poll that is open now; earlier ones may have timed out. */
    private ServeFixture.Received nextWatch() throws Exception {
        ServeFixture.Received latest = fixture.list.next();
        for (ServeFixture.Received later = fixture.list.received.poll(); later != null; later = fixture.list.received.poll()) {
            latest = later.elements().get(0).equals("closed") ? latest : later;
        }
        return latest;
    }

    /** Rule 1: a copy whose connection is established after the query is answered is not sent. */
    @Test
    void nothingIsSentForAnAnsweredQuery() throws Exception {
        fixture.grades = "{\"name\":\"quick\",\"semantics\":\"read_like\",\"sloTimeS\":0.4,\"tardyImportance\":0.5,\"statementTimeoutS\":9},"
                + fixture.grades;
        try (DelayedPeer delayedPeer = new DelayedPeer()) {
            startWith(fixture.cache, delayedPeer, ",\"mayCancel\":false", ok("{\"rev\":2,\"all\":false,\"targets\":["
                    + ServeFixture.entry("s-2", fixture.cache, "m", "ready").replace(fixture.cache.endpoint(), delayedPeer.endpoint()) + "]}"));
            ServeFixture.Client client = fixture.client();
            awaitLoopTurn(client);
            delayedPeer.fill();
            client.send("C.GET", "00000000000000aa", "answered", "c=quick,d=9000");
            fixture.origin.next().answer(ok("copy")); // the second copy, sent after 0.6 of the SLO time
            assertThat(client.answer()).isEqualTo("copy");
            client.send("C.GET", "00000000000000bb", "next", "c=read,d=9000");
            assertThat(delayedPeer.next().elements()).contains("next");
        }
    }

    /** Rule 2: a repeat whose connection is established after the nodes' deduplication window is not sent. */
    @Test
    void repeatIsNotSentAfterItsWindow() throws Exception {
        fixture.grades = "{\"name\":\"put\",\"semantics\":\"idempotency_key\",\"group\":\"all\",\"windowS\":0.6,"
                + "\"sloTimeS\":9,\"statementTimeoutS\":9}";
        try (DelayedPeer delayedPeer = new DelayedPeer()) {
            startWith(fixture.origin, delayedPeer, "", unchangedList(1));
            ServeFixture.Client client = fixture.client();
            client.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000,k=7", "v");
            ServeFixture.Received first = delayedPeer.next();
            assertThat(first.elements()).anyMatch(line -> line.contains("w1"));
            delayedPeer.fill();
            reset(first.connection());
            awaitLoopTurn(fixture.client()); // by now it reconnects; the connection is established at the system's retry, after 1 s
            delayedPeer.emptyQueue();
            assertThat(client.answer()).startsWith("-ERR");
            client.send("C.SET", "00000000000000aa", "w2", "c=put,d=9000,k=8", "v");
            assertThat(delayedPeer.next().elements()).anyMatch(line -> line.contains("w2"));
        }
    }

    /** A duplicate answer may come some ms late and was taken for the answer to the next query on the connection. */
    @Test
    void connectionIsNotReusedAtOnceAfterSpoiltAnswers() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "spoilt", "c=read,d=9000");
        fixture.cache.next().answer("noise\r\n");
        fixture.origin.next().answer(ok("value"));
        assertThat(client.answer()).isEqualTo("value");
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received incoming = fixture.cache.next();
        fixture.signal("STOP");
        incoming.answer(hit("one"));
        client.send("C.GET", "00000000000000aa", "id2", "c=read,d=9000");
        fixture.signal("CONT");
        assertThat(client.answer()).isEqualTo("one");
        ServeFixture.Received next = fixture.cache.next();
        assertThat(next.connection()).isNotSameAs(incoming.connection());
        incoming.answer(hit("one"));
        next.answer(hit("two"));
        assertThat(client.answer()).isEqualTo("two");
    }

    /** All accepted queries are answered, whatever signals come: SIGTERM twice and SIGHUP, while pipelined commands are partly answered. */
    @Test
    void pipelinedCommandsAreAllAnsweredAfterSigterm() throws Exception {
        ServeFixture.Client client = fixture.start(folder, ",\"streamsPerConn\":1").client();
        ServeFixture.Client resting = fixture.client();
        awaitLoopTurn(resting);
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        client.send("C.GET", "00000000000000bb", "id2", "c=read,d=9000");
        client.send("C.GET", "00000000000000cc", "id3", "c=read,d=9000");
        client.raw("*4\r\n$5\r\nC.GET\r\n$16\r\n00000000"); // and half of a fourth
        Map<String, ServeFixture.Received> incoming = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            ServeFixture.Received next = fixture.cache.next();
            incoming.put(next.elements().get(2), next);
        }
        incoming.get("id1").answer(hit("one"));
        assertThat(client.answer()).isEqualTo("one");
        fixture.signal("TERM");
        fixture.signal("HUP");
        fixture.signal("TERM");
        fixture.awaitLog(folder, "told to end");
        client.raw("000000dd\r\n$3\r\nid4\r\n$13\r\nc=read,d=9000\r\n");
        incoming.get("id2").answer(hit("two"));
        assertThat(client.answer()).isEqualTo("two");
        ServeFixture.Received fourth = fixture.cache.next();
        assertThat(fourth.elements()).contains("id4");
        fourth.answer(hit("four"));
        assertThat(client.answer()).startsWith("-"); // the third is never answered by a node, and is aborted shortly before the kill
        assertThat(client.answer()).isEqualTo("four");
        assertThat(client.isAtEnd()).isTrue();
        assertThat(resting.isAtEnd()).isTrue();
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
    }

    /** A value that is partly forwarded at shutdown must not look complete. */
    @Test
    void partlyForwardedValueIsNotCompletedAtShutdown() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received incoming = fixture.cache.next();
        incoming.answer("*3\r\n$1000000\r\n" + "v".repeat(300_000));
        assertThat(new String(client.bytes(10), StandardCharsets.US_ASCII)).isEqualTo("$1000000\r\n");
        fixture.signal("TERM");
        assertThat(client.rest()).hasSizeLessThan(1_000_000);
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
    }

    /** SIGTERM before the process serves ends it at once, without accepting anything. */
    @Test
    void sigtermDuringStartEndsTheProcess() throws Exception {
        fixture.list.firstAnswer = null;
        fixture.start(folder, "");
        fixture.list.next(); // the process waits for the answer
        fixture.signal("TERM");
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
        assertThatThrownBy(() -> new Socket("127.0.0.1", fixture.port)).isInstanceOf(ConnectException.class);
    }

    /** The first client's query is answered even if SIGTERM arrives together with it. */
    @Test
    void firstQueryIsAnsweredDespiteSigterm() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        fixture.signal("TERM");
        fixture.cache.next().answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
    }

    /** Idle clients use up their descriptors while the list service is down: the descriptors for the list and nodes stay available. */
    @Test
    void idleClientsLeaveDescriptorsForListAndNodes() throws Exception {
        fixture.descriptorLimit = 96;
        fixture.start(folder, "");
        ServeFixture.Received watch = fixture.list.next();
        List<ServeFixture.Client> idle = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            idle.add(fixture.client());
        }
        reset(watch.connection());
        for (int i = 0; i < 2; i++) {
            fixture.list.next().answer("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        }
        fixture.list.next().answer(unchangedList(2));
        assertThat(fixture.list.next().elements().get(0)).startsWith("GET /registry/instances?from=2&hold_ms=");
        ServeFixture.Client asking = fixture.client();
        asking.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        fixture.cache.next().answer(hit("value"));
        assertThat(asking.answer()).isEqualTo("value");
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("no descriptor left");
    }

    private static long timeoutSentMs(ServeFixture.Received incoming) {
        Matcher timeoutMatch = Pattern.compile("\\bd=(\\d+)").matcher(String.join(" ", incoming.elements()));
        assertThat(timeoutMatch.find()).isTrue();
        return Long.parseLong(timeoutMatch.group(1));
    }
}
