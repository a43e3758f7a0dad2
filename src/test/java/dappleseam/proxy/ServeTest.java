package dappleseam.proxy;

import static dappleseam.proxy.ServeFixture.MISS;
import static dappleseam.proxy.ServeFixture.hit;
import static dappleseam.proxy.ServeFixture.ok;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.wire.BufferPool;
import dappleseam.wire.LargeValueHandler;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the running program over sockets, as a client and in place of its peers. */
class ServeTest {
    /** Memory in MB of a JVM under load beside heap and buffers, as the review's case of long values shows it, rounded up. */
    private static final double JVM_MB = 39.5;

    /** Size of a list of some 200 caches. */
    private static final int LONG_LIST_BYTES = 30_000;
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

    @Test
    void readReturnsTheValueOfTheCache() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000,size=3");
        ServeFixture.Received incoming = fixture.cache.next();
        assertThat(incoming.elements().subList(0, 3)).containsExactly("C.GET", "00000000000000aa", "id1");
        assertThat(incoming.elements().get(3)).matches("c=read,d=(8\\d{3}|[1-7]\\d{3}),size=3");
        incoming.answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
    }

    @Test
    void missIsFetchedFromTheOrigin() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        fixture.cache.next().answer(MISS);
        ServeFixture.Received incoming = fixture.origin.next();
        assertThat(incoming.elements()).contains("GET /00000000000000aa HTTP/1.1", "X-Correlation-Id: id1");
        assertThat(incoming.elements()).filteredOn(line -> line.startsWith("X-Facts: ")).singleElement().asString()
                .matches("X-Facts: c=read,d=(8\\d{3}|[1-7]\\d{3})"); // the remaining time, as sent to a cache
        incoming.answer(ok("fetched"));
        assertThat(client.answer()).isEqualTo("fetched");
    }

    @Test
    void writeGoesToTheOriginWithItsValue() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.SET", "00000000000000aa", "id1", "c=put,d=9000,k=77", "X".repeat(20000));
        ServeFixture.Received incoming = fixture.origin.next();
        assertThat(incoming.elements()).contains("PUT /00000000000000aa HTTP/1.1", "Content-Length: 20000");
        incoming.answer(ok("receipt"));
        assertThat(client.answer()).isEqualTo("receipt");
    }

    /** Rule 2: a write that may have run is aborted, never rejected or repeated. */
    @Test
    void writeOnABrokenConnectionIsAborted() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.SET", "00000000000000aa", "id1", "c=put,d=9000", "v");
        fixture.origin.next().connection().close();
        assertThat(client.answer()).startsWith("-ERR");
        assertThat(fixture.origin.received).noneMatch(t -> t.elements().get(0).startsWith("PUT"));
    }

    @Test
    void writeThatNeverRanIsRejected() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.SET", "00000000000000aa", "id1", "c=put,d=9000", "v");
        String notRun = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        for (ServeFixture.Received incoming = fixture.origin.next(); incoming != null;
                incoming = fixture.origin.received.poll(500, TimeUnit.MILLISECONDS)) {
            incoming.answer(notRun);
        }
        assertThat(client.answer()).startsWith("-BUSY");
    }

    /** A process whose I/O thread had died went on listening and answered nobody. */
    @Test
    void theProcessEndsWhenItsIoThreadDies() throws Exception {
        fixture.mainClass = "org.xnio.nio.DyingIoThread";
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("PING");
        assertThat(client.answer()).isEqualTo("+PONG");
        fixture.program.getOutputStream().write('\n');
        fixture.program.getOutputStream().flush();
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isEqualTo(Serve.IO_THREAD_DIED_STATUS);
        fixture.awaitLog(folder, "ClosedSelectorException");
    }

    /** Pipelined commands must be answered in order, whatever the order of the nodes' answers. */
    @Test
    void answersComeInTheOrderOfTheCommands() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        client.send("C.SET", "00000000000000bb", "id2", "c=put,d=9000", "v");
        client.send("PING");
        fixture.origin.next().answer(ok("second"));
        fixture.cache.next().answer(hit("first"));
        assertThat(client.answer()).isEqualTo("first");
        assertThat(client.answer()).isEqualTo("second");
        assertThat(client.answer()).isEqualTo("+PONG");
    }

    /** On a shared connection, the answer for a client that has left is dropped, and the others still get theirs. */
    @Test
    void leavingClientDoesNotDisturbOthersOnTheConnection() throws Exception {
        fixture.descriptorLimit = 96;
        ServeFixture.Client writer = fixture.start(folder, "").client();
        fixture.list.next();
        for (int i = 0; i < 22; i++) { // together with those to the list service and one to the cache, all connections that may be opened
            writer.send("C.SET", "00000000000000cc", "w" + i, "c=put,d=20000", "v");
            fixture.origin.next();
        }
        ServeFixture.Client leaving = fixture.client();
        ServeFixture.Client staying = fixture.client();
        leaving.send("C.GET", "00000000000000aa", "id1", "c=read,d=20000");
        ServeFixture.Received first = fixture.cache.next();
        staying.send("C.GET", "00000000000000bb", "id2", "c=read,d=20000");
        ServeFixture.Received second = fixture.cache.next();
        assertThat(second.connection()).isSameAs(first.connection());
        leaving.socket.close();
        ServeFixture.Client third = fixture.client();
        for (int i = 0; i < 2; i++) { // after two rounds the loop has seen the connection's end
            third.send("PING");
            assertThat(third.answer()).isEqualTo("+PONG");
        }
        first.answer(MISS + hit("mine"));
        assertThat(staying.answer()).isEqualTo("mine");
        assertThat(fixture.origin.received).isEmpty();
    }

    private void assertTwoReadsDoNotShareAConnection(ServeFixture.Client client) throws Exception {
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=20000");
        client.send("C.GET", "00000000000000bb", "id2", "c=read,d=20000");
        assertThat(fixture.cache.next().connection()).isNotSameAs(fixture.cache.next().connection());
    }

    /** After a malformed answer, queries must not wait behind slow ones or be affected by bad answers before theirs. */
    @Test
    void afterASpoiltAnswerCommandsDoNotShareAConnection() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id0", "c=read,d=20000");
        fixture.cache.next().answer("noise\r\n");
        fixture.origin.next().answer(ok("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertTwoReadsDoNotShareAConnection(client);
    }

    /** A connection carries one query at a time, although the connection penalty would favour sharing. */
    @Test
    void withOneQueryPerConnectionOpenQueriesDoNotShare() throws Exception {
        ServeFixture.Client client = fixture.start(folder, ",\"streamsPerConn\":1").client();
        client.send("C.GET", "00000000000000aa", "id0", "c=read,d=9000");
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000,r=1,costGuessS=0.03");
        ServeFixture.Received first = fixture.cache.next();
        ServeFixture.Received second = fixture.cache.next();
        assertThat(first.connection()).isNotSameAs(second.connection());
        first.answer(hit("value"));
        second.answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(client.answer()).isEqualTo("value");
    }

    /** Queries must not wait behind an answer that never comes, on a connection that stays open. */
    @Test
    void afterAMissingAnswerCommandsDoNotShareAConnection() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id0", "c=read,d=600");
        fixture.cache.next();
        assertThat(client.answer()).startsWith("-BUSY");
        assertTwoReadsDoNotShareAConnection(client);
    }

    /** Rule 1: a query is answered even if its cache stays silent. */
    @Test
    void silentCacheIsGivenUpBeforeTheStatementTimeout() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        long sent = System.nanoTime();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=600");
        fixture.cache.next();
        assertThat(client.answer()).matches("-(BUSY|ERR).*");
        assertThat(System.nanoTime() - sent).isGreaterThan(400_000_000L);
    }

    /** Invalid input must never reach a cache, as a single -SYNTAX answer from a cache voids a whole day of service. */
    @Test
    void badInputIsAnsweredWithAnErrorAndNotForwarded() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "key with spaces", "id1", "c=read,d=600");
        client.send("C.GET", "00000000000000aa", "id1", "c=unknown,d=600");
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=soon");
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=");
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=0x9");
        client.send("C.GET", "00000000000000aa", "", "c=read,d=600");
        client.send("C.SET", "00000000000000aa", "id1", "c=put,d=600");
        client.send("FLUSHALL");
        for (int i = 0; i < 8; i++) {
            assertThat(client.answer()).startsWith("-ERR");
        }
        client.raw("GET / HTTP/1.1\r\n");
        assertThat(client.answer()).startsWith("-ERR");
        assertThat(client.isAtEnd()).isTrue();
        assertThat(fixture.cache.received).isEmpty();
    }

    /** Clients that connect and stay silent, or query once and stay, must not keep others out. */
    @Test
    void silentClientsAreClosedForOthers() throws Exception {
        fixture.descriptorLimit = 96;
        ServeFixture.Client asker = fixture.start(folder, "").client();
        asker.send("C.GET", "00000000000000aa", "id", "c=read,d=20000");
        ServeFixture.Received incoming = fixture.cache.next();
        List<ServeFixture.Client> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            silent.add(fixture.client());
        }
        ServeFixture.Client newClient = fixture.client();
        newClient.send("PING");
        assertThat(newClient.answer()).isEqualTo("+PONG");
        incoming.answer(hit("value"));
        assertThat(asker.answer()).isEqualTo("value");
        for (ServeFixture.Client client : silent) {
            assertThat(client.isAtEnd()).isTrue(); // the last ones at the time limit for a first command
        }
    }

    /** At the connection limit, a new client must not be closed for the next one before its first command arrives. */
    @Test
    void newClientIsNotClosedForTheNext() throws Exception {
        fixture.descriptorLimit = 96;
        fixture.start(folder, "").client().socket.close();
        for (int i = 0; i < 30; i++) {
            ServeFixture.Client once = fixture.client();
            once.send("C.GET", "00000000000000aa", "id" + i, "c=read,d=20000");
            fixture.cache.next().answer(hit("value" + i));
            assertThat(once.answer()).isEqualTo("value" + i);
        }
        ServeFixture.Client fresh = fixture.client();
        ServeFixture.Client next = fixture.client();
        next.send("PING");
        assertThat(next.answer()).isEqualTo("+PONG");
        fresh.send("PING");
        assertThat(fresh.answer()).isEqualTo("+PONG");
    }

    /** Clients that query once and stay connected must not use up all client connections, so that no other can connect. */
    @Test
    void clientsThatQueryOnceLeaveRoomForOthers() throws Exception {
        fixture.descriptorLimit = 192; // 64 for clients' queries, of which a quarter is kept free: the latest 48 may stay
        List<ServeFixture.Client> clients = new ArrayList<>();
        fixture.start(folder, "").client().socket.close();
        for (int i = 0; i < 50; i++) {
            clients.add(fixture.client());
            clients.get(i).send("C.GET", "00000000000000aa", "id" + i, "c=read,d=20000");
            fixture.cache.next().answer(hit("value" + i));
            assertThat(clients.get(i).answer()).isEqualTo("value" + i);
        }
        for (int i = 0; i < 2; i++) { // well before the general idle timeout
            clients.get(i).socket.setSoTimeout(3500);
            assertThat(clients.get(i).isAtEnd()).isTrue();
        }
        clients.get(49).send("PING");
        assertThat(clients.get(49).answer()).isEqualTo("+PONG");
    }

    /** An incomplete command must not hold buffers and a descriptor for ever. */
    @Test
    void incompleteCommandEndsWithAnError() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.raw("*4\r\n$5\r\nC.GET\r\n$16\r\n0000");
        assertThat(client.answer()).startsWith("-ERR");
        assertThat(client.isAtEnd()).isTrue();
    }

    /** Two queries with one id: the answer could go to the wrong one. */
    @Test
    void duplicateIdIsRefused() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        ServeFixture.Client other = fixture.client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=20000");
        ServeFixture.Received incoming = fixture.cache.next();
        other.send("C.GET", "00000000000000bb", "id1", "c=read,d=20000");
        assertThat(other.answer()).startsWith("-ERR");
        incoming.answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        other.send("C.GET", "00000000000000bb", "id1", "c=read,d=20000"); // sent while the first was open, arrived later
        assertThat(other.answer()).startsWith("-ERR");
        assertThat(fixture.cache.received).allMatch(message -> message.elements().equals(List.of("closed"))); // no command
    }

    /** Bytes after an answer must not be taken for the answer to the next query. */
    @Test
    void duplicateAnswerIsDropped() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received first = fixture.cache.next();
        first.answer(hit("one") + hit("one"));
        assertThat(client.answer()).isEqualTo("one");
        client.send("C.GET", "00000000000000aa", "id2", "c=read,d=9000");
        ServeFixture.Received second = fixture.cache.next();
        assertThat(second.connection()).isNotSameAs(first.connection());
        second.answer(MISS);
        ServeFixture.Received third = fixture.origin.next();
        third.answer("HTTP/1.1 102 Wait\r\n\r\n" + ok("two") + "noise");
        assertThat(client.answer()).isEqualTo("two");
        client.send("C.SET", "00000000000000aa", "id3", "c=put,d=9000", "v");
        assertThat(fixture.origin.next().connection()).isNotSameAs(third.connection());
    }

    /** Rules 1 and 2: a malformed answer is neither a value nor a miss nor a rejection. */
    @Test
    void malformedAnswerIsAnErrorThatMayHaveRun() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        String[] malformed = {"*-1\r\n", "*0\r\n", "*1\r\n$-1\r\n", "*2\r\n$1\r\nx\r\n$-1\r\n", "$1\r\nx\r\n", "+OK\r\n",
            "-BUSYBODY\r\n", "*3\r\n$2\r\nabc\r\n$-1\r\n$-1\r\n", "*3\r\n$3000000000\r\nx"};
        for (int i = 0; i < malformed.length; i++) {
            client.send("C.GET", String.format("%016x", i), "id" + i, "c=read,d=9000");
            ServeFixture.Received incoming = fixture.cache.next();
            incoming.answer(malformed[i]);
            fixture.origin.next().answer(ok("value" + i)); // the only cache has been tried
            assertThat(client.answer()).isEqualTo("value" + i);
            client.send("C.GET", String.format("%016x", i), "other" + i, "c=read,d=9000");
            ServeFixture.Received next = fixture.cache.next();
            assertThat(next.connection()).isNotSameAs(incoming.connection());
            next.answer(hit("fine"));
            assertThat(client.answer()).isEqualTo("fine");
        }
        client.send("C.SET", "00000000000000aa", "id", "c=put,d=9000", "v");
        fixture.origin.next().answer("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
        assertThat(client.answer()).startsWith("-ERR");
    }

    /** Rule 3: a change in the list takes effect, and the next watch starts at once. */
    @Test
    void drainingCacheGetsNothingNew() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        ServeFixture.Received watch = fixture.list.next();
        assertThat(watch.elements().get(0)).startsWith("GET /registry/instances?from=1&hold_ms=");
        watch.answer(ok("{\"rev\":2,\"all\":false,\"targets\":["
                + ServeFixture.entry("s-1", fixture.cache, "m", "draining") + "]}"));
        assertThat(fixture.list.next().elements().get(0)).startsWith("GET /registry/instances?from=2&hold_ms=");
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        fixture.origin.next().answer(ok("from the origin"));
        assertThat(client.answer()).isEqualTo("from the origin");
    }

    /** Planned restart: accepted queries are answered, and the program exits by itself with status 0. */
    @Test
    void sigtermLetsOpenQueriesEnd() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received incoming = fixture.cache.next();
        fixture.program.destroy();
        Thread.sleep(100);
        ServeFixture.Client lateClient = fixture.client();
        lateClient.send("PING");
        assertThat(lateClient.answer()).isEqualTo("-ERR out of service"); // as the control server tells, but it is served
        lateClient.send("C.GET", "00000000000000aa", "id2", "c=read,d=9000");
        fixture.cache.next().answer(hit("late"));
        assertThat(lateClient.answer()).isEqualTo("late");
        incoming.answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(client.isAtEnd()).isTrue();
        assertThat(lateClient.isAtEnd()).isTrue();
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
    }

    /** Clients that were closed soon after SIGTERM found no server until the next start, so they are served for as long as possible. */
    @Test
    void connectedClientIsServedUntilShortlyBeforeTheKill() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("PING");
        assertThat(client.answer()).isEqualTo("+PONG");
        fixture.program.destroy();
        Thread.sleep(1200); // no more connections are accepted by now, and the kill is 2.5 s away
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        fixture.cache.next().answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(client.isAtEnd()).isTrue();
    }

    /** Rule 1 at a planned restart: queries without an answer are aborted before the platform kills. */
    @Test
    void unansweredQueriesAreAbortedBeforeTheKill() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=19000");
        fixture.cache.next();
        fixture.program.destroy();
        assertThat(client.answer()).startsWith("-ERR");
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
    }

    /** Rule 2 if executions may not run in parallel: a cancelled execution ends with its connection. */
    @Test
    void givingUpClosesTheConnectionWithoutParallelExecutions() throws Exception {
        ServeFixture.Client client = fixture.start(folder, ",\"parallelTries\":false").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=20000");
        client.send("C.GET", "00000000000000bb", "id2", "c=read,d=700");
        ServeFixture.Received one = fixture.cache.next();
        ServeFixture.Received other = fixture.cache.next();
        assertThat(other.connection()).isNotSameAs(one.connection());
        ServeFixture.Received cancelled = other.elements().contains("id2") ? other : one;
        ServeFixture.Client later = fixture.client();
        later.send("C.GET", "00000000000000cc", "id3", "c=read,d=3000");
        assertThat(later.answer()).startsWith("-BUSY");
        assertThat(fixture.cache.received).anyMatch(t -> t.elements().contains("closed") && t.connection() == cancelled.connection());
    }

    /** A write could cross the node's own close of an idle connection, so the proxy closes it first. */
    @Test
    void idleConnectionIsClosedBeforeTheNodeWould() throws Exception {
        ServeFixture.Client client = fixture.start(folder, ",\"idleCloseS\":2").client();
        client.send("C.GET", "00000000000000aa", "id1", "c=read,d=9000");
        ServeFixture.Received incoming = fixture.cache.next();
        incoming.answer(hit("value"));
        ServeFixture.Received ended = fixture.cache.received.poll(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(ended.elements()).containsExactly("closed");
        assertThat(client.answer()).isEqualTo("value");
    }

    /** The list service may be down for a while. */
    @Test
    void failedWatchIsReopened() throws Exception {
        fixture.start(folder, "").client();
        fixture.list.next().answer("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        fixture.list.next().connection().close();
        assertThat(fixture.list.next().elements().get(0)).startsWith("GET /registry/instances?from=1&hold_ms=");
    }

    /** SIGHUP would end a JVM by default; here it reloads the configuration, moves the watch, and keeps the old settings if the file is bad. */
    @Test
    void sighupMovesTheWatchAndABadFileChangesNothing() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        fixture.list.next().answer(ServeFixture.unchangedList(7));
        fixture.list.next();
        Path config = folder.resolve("config.json");
        String good = Files.readString(config);
        Files.writeString(config, good.substring(0, good.length() / 2));
        fixture.sendHangUp();
        fixture.awaitLog(folder, "configuration not taken");
        try (ServeFixture.StubPeer other = new ServeFixture.StubPeer()) {
            Files.writeString(config, good.replace(fixture.list.endpoint(), other.endpoint()));
            fixture.sendHangUp();
            assertThat(other.next().elements().get(0)).startsWith("GET /registry/instances?from=7&hold_ms=");
        }
        client.send("PING");
        assertThat(client.answer()).isEqualTo("+PONG");
    }

    /** Clients beyond the connection limit wait to be accepted while all others have an open query. */
    @Test
    void clientsBeyondTheLimitWait() throws Exception {
        fixture.descriptorLimit = 96;
        List<ServeFixture.Client> clients = new ArrayList<>();
        fixture.start(folder, "").client().socket.close();
        for (int i = 0; i < 59; i++) {
            clients.add(fixture.client());
            if (i < 13) {
                clients.get(i).send("C.SET", "00000000000000aa", "id" + i, "c=put,d=20000", "v");
            } else {
                clients.get(i).send("C.GET", "00000000000000aa", "id" + i, "c=read,d=20000");
            }
        }
        ServeFixture.Client last = fixture.client();
        last.send("PING");
        last.socket.setSoTimeout(300);
        assertThatThrownBy(last::answer).isInstanceOf(SocketTimeoutException.class);
        for (ServeFixture.Client client : clients) {
            client.socket.close();
        }
        last.socket.setSoTimeout((int) (1000 * ServeFixture.TIMEOUT_S));
        assertThat(last.answer()).isEqualTo("+PONG");
    }

    /**
     * The memory limit holds for both processes of an upgrade together. JVM flags are fixed before the configuration is read, so the launcher computes them;
     * it must not need any program but java.
     */
    @ParameterizedTest
    @ValueSource(strings = {"{\"limits\":{\"memory_mb\":128,\"sockets\":256}}",
        "{\n\"limits\": {\n  \"sockets\": 256,\n  \"memory_mb\"\n:\t\n 128\n}}\n"})
    void launcherBoundsMemoryByTheConfiguration(String text) throws Exception {
        assertThat(launcherFlags(text)).contains("-Xms16m -Xmx16m").contains("-XX:MaxDirectMemorySize=32m").endsWith("Serve\n");
    }

    /** With the least memory that operators name, 8 MB of heap and no room for the last buffers ended connections in the middle of answers. */
    @Test
    void launcherLeavesRoomForTheProgramHoweverLowTheLimit() throws Exception {
        assertThat(launcherFlags("{\"limits\":{\"memory_mb\":32}}")).contains("-Xms16m -Xmx16m").contains("-XX:MaxDirectMemorySize=12m");
        assertThat(BufferMemory.buffers(32, 16 << 20, true) * (long) BufferPool.SIZE).isLessThan(12 << 20);
    }

    /** The flags that the launcher gives java. */
    private String launcherFlags(String text) throws IOException {
        return fixture.launcherCommand(folder, text);
    }

    /** With long values both processes of an upgrade took 203 to 242 MB of 192: each had buffers of a fifth of the whole limit. */
    @ParameterizedTest
    @ValueSource(ints = {128, 144, 192, 256, 1024})
    void heapAndBuffersOfTwoProcessesFitTheMemoryLimit(int limitMb) throws Exception {
        long heapMb = launcherHeapMb(limitMb);
        double firstMb = buffersMb(limitMb, heapMb, true);
        double secondMb = buffersMb(limitMb, heapMb, false);
        assertThat(2 * (heapMb + JVM_MB) + firstMb + secondMb).isLessThanOrEqualTo(limitMb);
        assertThat(Math.min(firstMb, secondMb)).isGreaterThanOrEqualTo(2.0 * LargeValueHandler.MAX_BYTES / (1 << 20));
    }

    private static double buffersMb(int limitMb, long heapMb, boolean isFirst) {
        return BufferMemory.buffers(limitMb, heapMb << 20, isFirst) * (double) BufferPool.SIZE / (1 << 20);
    }

    private long launcherHeapMb(int limitMb) throws Exception {
        Matcher heap = Pattern.compile("-Xmx(\\d+)m").matcher(launcherFlags("{\"limits\":{\"memory_mb\":" + limitMb + "}}"));
        assertThat(heap.find()).isTrue();
        return Long.parseLong(heap.group(1));
    }

    /** Reading a long list with one system call per byte takes seconds on a machine where system calls are slow. */
    @Test
    void launcherReadsALongConfigurationInFewCalls() throws Exception {
        Path tools = Files.createDirectory(folder.resolve("tools"));
        Path java = Files.writeString(tools.resolve("java"), "#!/bin/sh\nwhile read -r line; do echo \"$line\"; done < /proc/$$/io\n");
        assertThat(java.toFile().setExecutable(true)).isTrue();
        Path config = Files.writeString(folder.resolve("config"), "{\"known\":\"" + "v".repeat(LONG_LIST_BYTES) + "\",\"limits\":{\"memory_mb\":128}}");
        ProcessBuilder launcher = new ProcessBuilder("/bin/sh", "deploy/serve.sh");
        launcher.environment().put("NODE_CONFIG", config.toString());
        launcher.environment().put("PATH", tools.toString());
        fixture.program = launcher.start();
        String io = new String(fixture.program.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        long reads = io.lines().filter(line -> line.startsWith("syscr: ")).mapToLong(line -> Long.parseLong(line.substring(7))).findFirst().orElseThrow();
        assertThat(reads).isLessThan(LONG_LIST_BYTES / 100);
    }

    /** Code that is slow on its first run is warmed up before the first client is accepted, without contacting nodes. */
    @Test
    void warmUpRunsBeforeTheFirstClient() throws Exception {
        assertThat(fixture.start(folder, "").client().socket.isConnected()).isTrue();
        fixture.awaitLog(folder, "rehearsed: true");
        assertThat(fixture.cache.received).isEmpty();
        assertThat(fixture.origin.received).isEmpty();
    }

    /** The class archive is created by a check run and contains the classes which that run used, so it has to use sockets. */
    @Test
    void checkUsesSockets() throws Exception {
        fixture.command = "serve --check";
        fixture.start(folder, "");
        assertThat(fixture.list.next().elements().get(0)).startsWith("GET /registry/instances");
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
    }

    @Test
    void faultySettingIsNamed() throws Exception {
        fixture.start(folder, ",\"mostHeld\":\"many\"");
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isEqualTo(1);
        assertThat(Files.readString(folder.resolve("log"))).contains("settings.ceilings.mostHeld");
    }
}
