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
import java.util.HashSet;
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
    /** The origin's refusal, which proves that a request never ran. */
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
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

    /** Guards against work sent to a new process on a connection to the one that had its address before. */
    @Test
    void aNewProcessAtANodesAddressGetsConnectionsOfItsOwn() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        ServeFixture.Received watch = fixture.list.next();
        Set<Socket> used = new HashSet<>();
        boolean isReused = false;
        for (int i = 0; i < 10; i++) {
            isReused = !used.add(readOnce(client, i).connection());
        }
        assertThat(isReused).isTrue();
        String restarted = ServeFixture.entry("s-1", fixture.cache, "m", "ready").replace("\"boot_ms\":0", "\"boot_ms\":" + (System.currentTimeMillis() - 60_000));
        watch.answer(ok("{\"rev\":2,\"all\":false,\"targets\":[" + restarted + "]}"));
        fixture.list.next(); // the next call follows once the list has been applied
        assertThat(used).doesNotContain(readOnce(client, 10).connection());
    }

    private ServeFixture.Received readOnce(ServeFixture.Client client, int number) throws Exception {
        client.send("C.GET", String.format("%016x", number), "id" + number, "c=read,d=9000");
        ServeFixture.Received read = fixture.cache.next();
        read.answer(hit("value-" + number));
        assertThat(client.answer()).isEqualTo("value-" + number);
        return read;
    }

    /** When watches are reset just before a drain, the back-off after a failed request must not add to the delay. */
    @Test
    void resetWatchIsReopenedWithoutBackOff() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Received watch = fixture.list.next();
        fixture.list.firstAnswer = ok(drainingList(2)); // by the stub itself: a response that is late by a second is dropped
        reset(watch.connection());
        assertThat(fixture.list.next().elements().get(0)).startsWith("GET /registry/instances?from=2&hold_ms=");
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

    /** A late copy of a value was taken for the answer to the next query on its connection, and each further answer for that of the next. */
    @Test
    void copyOfAValueAnswersNoOtherQuery() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        showDistinctValues(client);
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received first = fixture.cache.next();
        first.answer(hit("one"));
        assertThat(client.answer()).isEqualTo("one");
        client.send("C.GET", "00000000000000bb", "id2", "c=read,d=9000");
        ServeFixture.Received second = fixture.cache.next();
        assertThat(second.connection()).isSameAs(first.connection());
        second.answer(hit("one"));
        awaitLoopTurn(fixture.client());
        second.answer(hit("two"));
        fixture.origin.next().answer(ok("two"));
        assertThat(client.answer()).isEqualTo("two");
    }

    /** Two values that differ, after which commands are sent on used connections. */
    private void showDistinctValues(ServeFixture.Client client) throws Exception {
        for (String value : List.of("zero", "null")) {
            client.send("C.GET", "00000000000000aa", "id-" + value, "c=read,d=9000");
            fixture.cache.next().answer(hit(value));
            assertThat(client.answer()).isEqualTo(value);
        }
    }

    /** A late copy of a receipt completed a write that had not run yet; what the node does with it is unknown. */
    @Test
    void copyOfAReceiptCompletesNoOtherWrite() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        for (int i = 0; i < 3; i++) { // two receipts that differ, after which writes share a connection
            ServeFixture.Received first = writeAtTheOrigin(client, "w" + i);
            first.answer(ok("receipt of w" + i));
            assertThat(client.answer()).isEqualTo("receipt of w" + i);
        }
        ServeFixture.Received copied = writeAtTheOrigin(client, "w3");
        copied.answer(ok("receipt of w3"));
        assertThat(client.answer()).isEqualTo("receipt of w3");
        ServeFixture.Received second = writeAtTheOrigin(client, "w4");
        assertThat(second.connection()).isSameAs(copied.connection());
        second.answer(ok("receipt of w3"));
        assertThat(client.answer()).isEqualTo("-ERR failed");
        ServeFixture.Received third = writeAtTheOrigin(client, "w5");
        assertThat(third.connection()).isNotSameAs(second.connection());
        third.answer(ok("receipt of w5"));
        assertThat(client.answer()).isEqualTo("receipt of w5");
    }

    private ServeFixture.Received writeAtTheOrigin(ServeFixture.Client client, String id) throws Exception {
        client.send("C.SET", "00000000000000aa", id, "c=put,d=9000", "v");
        ServeFixture.Received received = fixture.origin.next();
        assertThat(received.elements()).anyMatch(line -> line.endsWith(" " + id));
        return received;
    }

    /** A late copy of a refusal counted as proof that the repeated write had not run either: it was sent again while it ran. */
    @Test
    void copyOfARefusalIsNoProofThatTheRepeatNeverRan() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000", "v");
        ServeFixture.Received refused = fixture.origin.next();
        refused.answer(REFUSAL);
        ServeFixture.Received repeat = fixture.origin.next();
        assertThat(repeat.connection()).isNotSameAs(refused.connection());
        refused.answer(REFUSAL);
        awaitLoopTurn(fixture.client());
        repeat.answer(ok("receipt"));
        assertThat(client.answer()).isEqualTo("receipt");
        assertNothingMoreFor("w1");
    }

    /** A late copy of a miss counted as proof that a query had not run at the cache: it was sent on to the origin while it ran. */
    @Test
    void copyOfAMissIsNoProofThatAnotherQueryNeverRan() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=put,d=9000");
        ServeFixture.Received missed = fixture.cache.next();
        missed.answer(MISS);
        fixture.origin.next().answer(ok("one"));
        assertThat(client.answer()).isEqualTo("one");
        client.send("C.GET", "00000000000000bb", "id2", "c=put,d=9000");
        ServeFixture.Received next = fixture.cache.next();
        assertThat(next.connection()).isNotSameAs(missed.connection());
        missed.answer(MISS);
        awaitLoopTurn(fixture.client());
        next.answer(hit("two"));
        assertThat(client.answer()).isEqualTo("two");
        assertNothingMoreFor("id2");
    }

    /** Longer than a reply must take for the test of a cache's order. */
    private static final long SLOW_REPLY_MS = 30;

    private ServeFixture.Received readAtTheCache(ServeFixture.Client client, String id) throws Exception {
        client.send("C.GET", "00000000000000aa", id, "c=put,d=9000");
        ServeFixture.Received received = fixture.cache.next();
        assertThat(received.elements()).contains(id);
        return received;
    }

    private void missAndFetch(ServeFixture.Client client, ServeFixture.Received atTheCache, String value) throws Exception {
        atTheCache.answer(MISS);
        fixture.origin.next().answer(ok(value));
        assertThat(client.answer()).isEqualTo(value);
    }

    /** A miss that equals an earlier one on its connection counts only if the answer to the PING behind it comes next; else it was a copy. */
    @Test
    void equalMissCountsOnlyOnceThePingBehindItIsAnswered() throws Exception {
        ServeFixture.Client client = fixture.start(folder, ",\"probing\":true").client();
        missAndFetch(client, readAtTheCache(client, "id1"), "one");
        ServeFixture.Received tested = readAtTheCache(client, "id2");
        assertThat(fixture.cache.next().elements()).containsExactly("PING");
        Thread.sleep(SLOW_REPLY_MS);
        tested.answer(hit("two") + "+PONG\r\n");
        assertThat(client.answer()).isEqualTo("two");
        missAndFetch(client, readAtTheCache(client, "id3"), "three");
        ServeFixture.Received own = readAtTheCache(client, "id4");
        own.answer(MISS);
        assertThat(fixture.cache.next().elements()).containsExactly("PING");
        assertThat(fixture.origin.received).isEmpty();
        own.answer("+PONG\r\n");
        fixture.origin.next().answer(ok("four"));
        assertThat(client.answer()).isEqualTo("four");
        ServeFixture.Received copied = readAtTheCache(client, "id5");
        assertThat(copied.connection()).isSameAs(tested.connection());
        copied.answer(MISS);
        assertThat(fixture.cache.next().elements()).containsExactly("PING");
        copied.answer(hit("five") + "+PONG\r\n");
        assertThat(client.answer()).isEqualTo("five");
        assertNothingMoreFor("id5");
    }

    /** A cache that answers PING ahead of commands proves nothing by it: a connection ends with its first miss. */
    @Test
    void pingThatOvertakesCommandsProvesNothing() throws Exception {
        ServeFixture.Client client = fixture.start(folder, ",\"probing\":true").client();
        missAndFetch(client, readAtTheCache(client, "id1"), "one");
        ServeFixture.Received tested = readAtTheCache(client, "id2");
        assertThat(fixture.cache.next().elements()).containsExactly("PING");
        tested.answer("+PONG\r\n");
        awaitLoopTurn(fixture.client());
        tested.answer(hit("two"));
        assertThat(client.answer()).isEqualTo("two");
        ServeFixture.Received missed = readAtTheCache(client, "id3");
        missAndFetch(client, missed, "three");
        ServeFixture.Received next = readAtTheCache(client, "id4");
        assertThat(next.connection()).isNotSameAs(missed.connection());
        missed.answer(MISS);
        awaitLoopTurn(fixture.client());
        next.answer(hit("four"));
        assertThat(client.answer()).isEqualTo("four");
        assertNothingMoreFor("id4");
    }

    /** No further execution of the query was received before one of a later query. */
    private void assertNothingMoreFor(String id) throws Exception {
        ServeFixture.Client client = fixture.client();
        client.send("C.SET", "00000000000000ff", "last", "c=put,d=9000", "v");
        ServeFixture.Received next = fixture.origin.next();
        assertThat(next.elements()).noneMatch(line -> line.contains(id)).anyMatch(line -> line.contains("last"));
        next.answer(ok("receipt of last"));
        assertThat(client.answer()).isEqualTo("receipt of last");
    }

    /** A large value that nobody asked for ends its connection: the next command must not be sent into it. */
    @Test
    void connectionWithAnUnexpectedLargeValueIsNotUsed() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received first = fixture.cache.next();
        first.answer(hit("one"));
        assertThat(client.answer()).isEqualTo("one");
        first.answer("*3\r\n$200000\r\nhalf");
        awaitLoopTurn(fixture.client());
        client.send("C.GET", "00000000000000bb", "id2", "c=put,d=9000");
        ServeFixture.Received second = fixture.cache.next();
        assertThat(second.connection()).isNotSameAs(first.connection());
        second.answer(hit("two"));
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
