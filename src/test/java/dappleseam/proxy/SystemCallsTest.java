package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.proxy.FailingCalls.Call;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** System calls of the running program fail for a while, as documented for Linux; every query still gets exactly one answer in time. */
class SystemCallsTest {
    private static final String VALUE = "value";
    private static final int TIMEOUT_MS = 1500;
    private static final double NANOS_PER_MS = 1e6;
    private static final long QUERY_INTERVAL_MS = 20;
    /** Maximum time in ms until a node that could not be reached is used again. */
    private static final double MAX_RECOVERY_MS = 3000;

    @TempDir
    Path folder;
    private ServeFixture fixture;
    private FailingCalls calls;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        calls = new FailingCalls(folder);
        calls.addTo(fixture.environment);
        fixture.cache.constantAnswer = ServeFixture.hit(VALUE);
    }

    @AfterEach
    void end() throws Exception {
        fixture.close();
    }

    private static void sendRead(ServeFixture.Client client, String id) throws Exception {
        client.send("C.GET", "00000000000000aa", id, "c=read,d=" + TIMEOUT_MS);
    }

    /** Sends queries on new connections at an interval; returns the times in ms until each answer. */
    private List<Double> readOnNewConnections(int count, int apartMs) throws Exception {
        List<ServeFixture.Client> clients = new ArrayList<>();
        List<Long> sentAt = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(fixture.client());
            sendRead(clients.get(i), "id" + i);
            sentAt.add(System.nanoTime());
            Thread.sleep(apartMs);
        }
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            assertThat(clients.get(i).answer()).matches(VALUE + "|-BUSY .*"); // a burst may be too much for one cache
            times.add((System.nanoTime() - sentAt.get(i)) / NANOS_PER_MS - (count - 1 - i) * apartMs);
            clients.get(i).socket.close();
        }
        return times;
    }

    @ParameterizedTest
    @ValueSource(ints = {FailingCalls.ENFILE, FailingCalls.EMFILE, FailingCalls.EPROTO, FailingCalls.ENOBUFS, FailingCalls.ENETUNREACH})
    void pendingConnectionsAreServedInTimeWhileAcceptKeepsFailing(int error) throws Exception {
        fixture.start(folder, "").client();
        calls.fail(Call.ACCEPT, error, 2, FailingCalls.UNLIMITED);
        assertThat(readOnNewConnections(20, 20)).allMatch(ms -> ms < 250);
        assertThat(calls.failedCount(Call.ACCEPT)).isPositive();
    }

    /** No accept succeeds for a second: the thread must not spin meanwhile, and pending connections are served right after it. */
    @Test
    void aSecondWithoutAcceptCostsNoCpuAndNoQuery() throws Exception {
        fixture.start(folder, "").client();
        ServeFixture.Client before = fixture.client();
        sendRead(before, "before");
        assertThat(before.answer()).isEqualTo(VALUE);
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 1, FailingCalls.UNLIMITED);
        Duration cpuBefore = fixture.program.toHandle().info().totalCpuDuration().orElseThrow();
        ServeFixture.Client pending = fixture.client();
        sendRead(pending, "waits");
        Thread.sleep(1000);
        Duration cpu = fixture.program.toHandle().info().totalCpuDuration().orElseThrow().minus(cpuBefore);
        calls.stop(Call.ACCEPT);
        long from = System.nanoTime();
        assertThat(pending.answer()).isEqualTo(VALUE);
        assertThat((System.nanoTime() - from) / NANOS_PER_MS).isLessThan(150);
        assertThat(cpu.toMillis()).isLessThan(300);
    }

    /** A query's timeout also runs while its connection waits to be accepted. */
    @Test
    void waitForAcceptIsDeductedFromTheQueryTimeout() throws Exception {
        fixture.cache.constantAnswer = null;
        fixture.start(folder, "").client();
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 1, FailingCalls.UNLIMITED);
        ServeFixture.Client client = fixture.client();
        sendRead(client, "id");
        Thread.sleep(600);
        calls.stop(Call.ACCEPT);
        String facts = fixture.cache.next().elements().get(3);
        assertThat(Integer.parseInt(facts.replaceAll(".*d=(\\d+).*", "$1"))).isLessThanOrEqualTo(TIMEOUT_MS - 600 + 150);
    }

    @Test
    void connectionsBeforeTheListenerClosesAreServedWhileAcceptFails() throws Exception {
        fixture.start(folder, "").client();
        fixture.signal("TERM");
        Thread.sleep(300);
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 1, FailingCalls.UNLIMITED);
        ServeFixture.Client client = fixture.client();
        sendRead(client, "id");
        Thread.sleep(400); // past the time at which no more connections are accepted
        calls.stop(Call.ACCEPT);
        assertThat(client.answer()).isEqualTo(VALUE);
    }

    @ParameterizedTest
    @ValueSource(ints = {FailingCalls.ENFILE, FailingCalls.ENOBUFS})
    void aSocketThatCannotBeHadForAMomentIsNoReasonNotToStart(int error) throws Exception {
        calls.fail(Call.SOCKET, error, 1, 12);
        fixture.controlPort = ServeFixture.freePort();
        ServeFixture.Client client = fixture.start(folder, "").client();
        sendRead(client, "id");
        assertThat(client.answer()).isEqualTo(VALUE);
        assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 200");
        assertThat(calls.failedCount(Call.SOCKET)).isEqualTo(12);
    }

    @ParameterizedTest
    @CsvSource({"EPOLL_CREATE,23,1", "EPOLL_CREATE,24,3", "EPOLL_CREATE,12,20", "EVENTFD,23,1", "EVENTFD,24,3"})
    void aSelectorThatCannotBeHadForAMomentIsNoReasonNotToStart(Call call, int error, int times) throws Exception {
        calls.fail(call, error, 1, times);
        ServeFixture.Client client = fixture.start(folder, "").client();
        sendRead(client, "first");
        assertThat(client.answer()).isEqualTo(VALUE);
        assertThat(calls.failedCount(call)).isPositive();
    }

    /** The pipe by which the I/O thread notices its selects. */
    @ParameterizedTest
    @CsvSource({"23,1", "24,3"})
    void aPipeThatCannotBeHadForAMomentIsNoReasonNotToStart(int error, int times) throws Exception {
        calls.fail(Call.PIPE, error, 1, times);
        ServeFixture.Client client = fixture.start(folder, "").client();
        sendRead(client, "first");
        assertThat(client.answer()).isEqualTo(VALUE);
        assertThat(calls.failedCount(Call.PIPE)).isEqualTo(times);
    }

    @ParameterizedTest
    @CsvSource({"CONNECT,99", "CONNECT,101", "CONNECT,113", "CONNECT,105", "SOCKET,23", "SOCKET,105", "READ,110", "READ,113", "WRITE,110"})
    void aCallThatFailsOnceLeavesTheNextQueryUnharmed(Call call, int error) throws Exception {
        fixture.origin.constantAnswer = ServeFixture.ok(VALUE);
        ServeFixture.Client client = fixture.start(folder, "").client();
        ServeFixture.Client other = fixture.client();
        for (ServeFixture.Client one : List.of(client, other)) { // a connection is read once more after its answer; after the second PING that of the first client is done
            one.send("PING");
            assertThat(one.answer()).isEqualTo("+PONG");
        }
        calls.fail(call, error, 1, 1);
        boolean answered = call != Call.READ && call != Call.WRITE; // otherwise the failed call may be on this client's connection
        String first = null;
        try {
            sendRead(other, "first");
            first = other.answer();
        } catch (java.io.IOException e) {
            assertThat(answered).isFalse();
        }
        assertThat(first == null || first.equals(VALUE) || first.startsWith("-BUSY")).isTrue();
        sendRead(client, "next");
        assertThat(client.answer()).isEqualTo(VALUE);
    }

    /** Each query gets exactly one answer in time even if no connection can be opened for its whole timeout; queries succeed again once the fault is over. */
    @ParameterizedTest
    @CsvSource({"CONNECT,99", "CONNECT,101", "CONNECT,110", "CONNECT,113", "SOCKET,23", "SOCKET,24", "SOCKET,105"})
    void callsThatFailLongerThanATimeoutCostNoAnswer(Call call, int error) throws Exception {
        fixture.origin.constantAnswer = ServeFixture.ok(VALUE);
        ServeFixture.Client client = fixture.start(folder, "").client();
        client.send("PING");
        assertThat(client.answer()).isEqualTo("+PONG");
        calls.fail(call, error, 1, FailingCalls.UNLIMITED);
        long startedAt = System.nanoTime();
        for (int i = 0; System.nanoTime() - startedAt < 2 * TIMEOUT_MS * NANOS_PER_MS; i++) {
            long sentAt = System.nanoTime();
            sendRead(client, "during" + i);
            assertThat(client.answer()).matches("-(BUSY|ERR).*");
            assertThat((System.nanoTime() - sentAt) / NANOS_PER_MS).isLessThan(TIMEOUT_MS + 500);
            Thread.sleep(QUERY_INTERVAL_MS);
        }
        assertThat(calls.failedCount(call)).isPositive();
        calls.stop(call);
        long stoppedAt = System.nanoTime();
        String answer = "";
        for (int i = 0; !answer.equals(VALUE) && (System.nanoTime() - stoppedAt) / NANOS_PER_MS < MAX_RECOVERY_MS; i++) {
            Thread.sleep(QUERY_INTERVAL_MS);
            sendRead(client, "after" + i);
            answer = client.answer();
        }
        assertThat(answer).isEqualTo(VALUE);
    }

    @Test
    void readsAndWritesMayBeShort() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        calls.fail(Call.READ, FailingCalls.SHORT, 2, FailingCalls.UNLIMITED);
        calls.fail(Call.WRITE, FailingCalls.SHORT, 2, FailingCalls.UNLIMITED);
        for (int i = 0; i < 30; i++) {
            sendRead(client, "id" + i);
            assertThat(client.answer()).isEqualTo(VALUE);
        }
        assertThat(calls.failedCount(Call.READ)).isPositive();
    }

    @Test
    void waitsMayBeInterrupted() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        calls.fail(Call.EPOLL_WAIT, FailingCalls.EINTR, 3, FailingCalls.UNLIMITED);
        for (int i = 0; i < 30; i++) {
            sendRead(client, "id" + i);
            assertThat(client.answer()).isEqualTo(VALUE);
        }
        assertThat(calls.failedCount(Call.EPOLL_WAIT)).isPositive();
    }

    /** Writes are blocked on a shared connection, and the client of the last command leaves meanwhile. */
    @Test
    void unwrittenCommandOfAClosedClientIsNeverSent() throws Exception {
        fixture.cache.constantAnswer = null;
        ServeFixture.Client first = fixture.start(folder, "").client();
        sendRead(first, "first");
        ServeFixture.Received open = fixture.cache.next();
        calls.fail(Call.WRITE, FailingCalls.EAGAIN, 1, FailingCalls.UNLIMITED);
        ServeFixture.Client leaves = fixture.client();
        sendRead(leaves, "left");
        Thread.sleep(200);
        assertThat(calls.failedCount(Call.WRITE)).isPositive();
        leaves.socket.close();
        Thread.sleep(300);
        calls.stop(Call.WRITE);
        sendRead(first, "second");
        assertThat(fixture.cache.next().elements().get(2)).isEqualTo("second");
        open.answer(ServeFixture.hit("one"));
        assertThat(first.answer()).isEqualTo("one");
    }

    /** Rule 3 with writes blocked: a command that has not begun to be written to a node is never sent once the node drains. */
    @Test
    void unwrittenCommandToADrainingNodeIsNeverSent() throws Exception {
        fixture.cache.constantAnswer = null;
        fixture.origin.constantAnswer = ServeFixture.ok("elsewhere");
        ServeFixture.Client first = fixture.start(folder, "").client();
        sendRead(first, "first");
        ServeFixture.Received open = fixture.cache.next();
        ServeFixture.Received watch = fixture.list.next();
        calls.fail(Call.WRITE, FailingCalls.EAGAIN, 1, FailingCalls.UNLIMITED);
        ServeFixture.Client second = fixture.client();
        sendRead(second, "second");
        Thread.sleep(200);
        watch.answer(ServeFixture.ok("{\"rev\":2,\"all\":false,\"targets\":[" + ServeFixture.entry("s-1", fixture.cache, "m", "draining") + "]}"));
        Thread.sleep(300);
        calls.stop(Call.WRITE);
        assertThat(second.answer()).matches("elsewhere|-BUSY.*");
        open.answer(ServeFixture.hit("one"));
        assertThat(first.answer()).isEqualTo("one");
        assertThat(fixture.cache.received.stream().map(ServeFixture.Received::elements)).noneMatch(words -> words.contains("second"));
    }

    /** The list for the next process is written once the disk accepts writes again, even if it does not change again. */
    @ParameterizedTest
    @CsvSource({"FILE_OPEN,28", "FILE_WRITE,28", "FILE_WRITE,5", "FILE_WRITE,-1", "FILE_RENAME,5"})
    void listThatCouldNotBeSavedIsSavedLater(Call call, int error) throws Exception {
        fixture.controlPort = ServeFixture.freePort();
        fixture.start(folder, "").client();
        Path savedList = folder.resolve("dappleseam-seats-1").resolve("127.0.0.1-" + fixture.port + "-list");
        awaitText(savedList, "\"rev\":1");
        calls.fail(call, error, 1, FailingCalls.UNLIMITED);
        String drains = ServeFixture.entry("s-1", fixture.cache, "m", "draining");
        fixture.list.next().answer(ServeFixture.ok("{\"rev\":2,\"all\":false,\"targets\":[" + drains + "]}"));
        for (int i = 0; i < 2000 && calls.failedCount(call) == 0; i++) {
            Thread.sleep(10);
        }
        ServeFixture.Client meanwhile = fixture.client(); // the first client may have been closed as idle by now
        sendRead(meanwhile, "meanwhile");
        assertThat(meanwhile.answer()).isNotEmpty();
        calls.stop(call);
        awaitText(savedList, "\"state\":\"draining\"");
    }

    private static void awaitText(Path file, String text) throws Exception {
        for (int i = 0; i < 500 && !(Files.exists(file) && Files.readString(file).contains(text)); i++) {
            Thread.sleep(10);
        }
        assertThat(Files.readString(file)).contains(text);
    }

    /** Another process on the address is detected even if the lock folder could not be used at the start. */
    @Test
    void folderThatCouldNotBeUsedAtTheStartIsUsedLater() throws Exception {
        fixture.controlPort = ServeFixture.freePort();
        Path blocked = Files.writeString(folder.resolve("dappleseam-seats-1"), "in the way");
        fixture.start(folder, "").client();
        Files.delete(blocked);
        awaitText(folder.resolve("dappleseam-seats-1").resolve("127.0.0.1-" + fixture.port + "-list"), "\"rev\":1");
    }

    @Test
    void controlServerAnswersInTimeWhileAcceptKeepsFailing() throws Exception {
        fixture.controlPort = ServeFixture.freePort();
        fixture.start(folder, "").client();
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 2, FailingCalls.UNLIMITED);
        for (int i = 0; i < 10; i++) {
            assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 200");
        }
    }
}
