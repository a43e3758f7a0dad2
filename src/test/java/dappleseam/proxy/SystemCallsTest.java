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
    private static final int TIME_MS = 1500;
    private static final double NANOS_PER_MS = 1e6;
    private static final long ASKED_APART_MS = 20;
    /** Maximum time in ms until a node that could not be reached is used again. */
    private static final double LATEST_BACK_MS = 3000;

    @TempDir
    Path folder;
    private Sockets sockets;
    private FailingCalls calls;

    @BeforeEach
    void prepare() throws Exception {
        sockets = new Sockets();
        calls = new FailingCalls(folder);
        calls.into(sockets.environment);
        sockets.cache.always = Sockets.hit(VALUE);
    }

    @AfterEach
    void end() throws Exception {
        sockets.close();
    }

    private static void ask(Sockets.Client client, String id) throws Exception {
        client.send("C.GET", "00000000000000aa", id, "c=read,d=" + TIME_MS);
    }

    /** Sends queries on new connections at an interval; returns the times in ms until each answer. */
    private List<Double> askOnNewConnections(int count, int apartMs) throws Exception {
        List<Sockets.Client> clients = new ArrayList<>();
        List<Long> asked = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(sockets.client());
            ask(clients.get(i), "id" + i);
            asked.add(System.nanoTime());
            Thread.sleep(apartMs);
        }
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            assertThat(clients.get(i).answer()).matches(VALUE + "|-BUSY .*"); // a burst may be too much for one cache
            times.add((System.nanoTime() - asked.get(i)) / NANOS_PER_MS - (count - 1 - i) * apartMs);
            clients.get(i).socket.close();
        }
        return times;
    }

    @ParameterizedTest
    @ValueSource(ints = {FailingCalls.ENFILE, FailingCalls.EMFILE, FailingCalls.EPROTO, FailingCalls.ENOBUFS, FailingCalls.ENETUNREACH})
    void whatWaitsToBeAcceptedIsServedInTimeThoughAcceptFailsAgainAndAgain(int error) throws Exception {
        sockets.start(folder, "").client();
        calls.fail(Call.ACCEPT, error, 2, FailingCalls.ALWAYS);
        assertThat(askOnNewConnections(20, 20)).allMatch(ms -> ms < 250);
        assertThat(calls.failed(Call.ACCEPT)).isPositive();
    }

    /** No accept succeeds for a second: the thread must not spin meanwhile, and pending connections are served right after it. */
    @Test
    void aSecondWithoutAcceptCostsNoProcessorAndNoQuery() throws Exception {
        sockets.start(folder, "").client();
        Sockets.Client before = sockets.client();
        ask(before, "before");
        assertThat(before.answer()).isEqualTo(VALUE);
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 1, FailingCalls.ALWAYS);
        Duration cpuBefore = sockets.program.toHandle().info().totalCpuDuration().orElseThrow();
        Sockets.Client waits = sockets.client();
        ask(waits, "waits");
        Thread.sleep(1000);
        Duration cpu = sockets.program.toHandle().info().totalCpuDuration().orElseThrow().minus(cpuBefore);
        calls.stop(Call.ACCEPT);
        long from = System.nanoTime();
        assertThat(waits.answer()).isEqualTo(VALUE);
        assertThat((System.nanoTime() - from) / NANOS_PER_MS).isLessThan(150);
        assertThat(cpu.toMillis()).isLessThan(300);
    }

    /** A query's timeout also runs while its connection waits to be accepted. */
    @Test
    void theTimeThatAQueryWaitedToBeAcceptedComesOffItsOwn() throws Exception {
        sockets.cache.always = null;
        sockets.start(folder, "").client();
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 1, FailingCalls.ALWAYS);
        Sockets.Client client = sockets.client();
        ask(client, "id");
        Thread.sleep(600);
        calls.stop(Call.ACCEPT);
        String facts = sockets.cache.next().words().get(3);
        assertThat(Integer.parseInt(facts.replaceAll(".*d=(\\d+).*", "$1"))).isLessThanOrEqualTo(TIME_MS - 600 + 150);
    }

    @Test
    void whatConnectedBeforeTheListenerClosesIsServedThoughAcceptFailsThen() throws Exception {
        sockets.start(folder, "").client();
        sockets.signal("TERM");
        Thread.sleep(300);
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 1, FailingCalls.ALWAYS);
        Sockets.Client client = sockets.client();
        ask(client, "id");
        Thread.sleep(400); // past the time at which no more connections are accepted
        calls.stop(Call.ACCEPT);
        assertThat(client.answer()).isEqualTo(VALUE);
    }

    @ParameterizedTest
    @ValueSource(ints = {FailingCalls.ENFILE, FailingCalls.ENOBUFS})
    void aSocketThatCannotBeHadForAMomentIsNoReasonNotToStart(int error) throws Exception {
        calls.fail(Call.SOCKET, error, 1, 12);
        sockets.control = Sockets.freePort();
        Sockets.Client client = sockets.start(folder, "").client();
        ask(client, "id");
        assertThat(client.answer()).isEqualTo(VALUE);
        assertThat(sockets.call("GET /control/ready")).startsWith("HTTP/1.1 200");
        assertThat(calls.failed(Call.SOCKET)).isEqualTo(12);
    }

    @ParameterizedTest
    @CsvSource({"EPOLL_CREATE,23,1", "EPOLL_CREATE,24,3", "EPOLL_CREATE,12,20", "EVENTFD,23,1", "EVENTFD,24,3"})
    void aSelectorThatCannotBeHadForAMomentIsNoReasonNotToStart(Call call, int error, int times) throws Exception {
        calls.fail(call, error, 1, times);
        Sockets.Client client = sockets.start(folder, "").client();
        ask(client, "first");
        assertThat(client.answer()).isEqualTo(VALUE);
        assertThat(calls.failed(call)).isPositive();
    }

    @ParameterizedTest
    @CsvSource({"CONNECT,99", "CONNECT,101", "CONNECT,113", "CONNECT,105", "SOCKET,23", "SOCKET,105", "READ,110", "READ,113", "WRITE,110"})
    void aCallThatFailsOnceLeavesAnAnswerAndTheNextQueryUnharmed(Call call, int error) throws Exception {
        sockets.origin.always = Sockets.ok(VALUE);
        Sockets.Client client = sockets.start(folder, "").client();
        Sockets.Client other = sockets.client();
        for (Sockets.Client one : List.of(client, other)) { // a connection is read once more after its answer; after the second PING that of the first client is done
            one.send("PING");
            assertThat(one.answer()).isEqualTo("+PONG");
        }
        calls.fail(call, error, 1, 1);
        boolean answered = call != Call.READ && call != Call.WRITE; // otherwise the failed call may be on this client's connection
        String first = null;
        try {
            ask(other, "first");
            first = other.answer();
        } catch (java.io.IOException e) {
            assertThat(answered).isFalse();
        }
        assertThat(first == null || first.equals(VALUE) || first.startsWith("-BUSY")).isTrue();
        ask(client, "next");
        assertThat(client.answer()).isEqualTo(VALUE);
    }

    /** Each query gets exactly one answer in time even if no connection can be opened for its whole timeout; queries succeed again once the fault is over. */
    @ParameterizedTest
    @CsvSource({"CONNECT,99", "CONNECT,101", "CONNECT,110", "CONNECT,113", "SOCKET,23", "SOCKET,24", "SOCKET,105"})
    void callsThatFailForAsLongAsADeadlineCostNoAnswer(Call call, int error) throws Exception {
        sockets.origin.always = Sockets.ok(VALUE);
        Sockets.Client client = sockets.start(folder, "").client();
        client.send("PING");
        assertThat(client.answer()).isEqualTo("+PONG");
        calls.fail(call, error, 1, FailingCalls.ALWAYS);
        long began = System.nanoTime();
        for (int i = 0; System.nanoTime() - began < 2 * TIME_MS * NANOS_PER_MS; i++) {
            long asked = System.nanoTime();
            ask(client, "during" + i);
            assertThat(client.answer()).matches("-(BUSY|ERR).*");
            assertThat((System.nanoTime() - asked) / NANOS_PER_MS).isLessThan(TIME_MS + 500);
            Thread.sleep(ASKED_APART_MS);
        }
        assertThat(calls.failed(call)).isPositive();
        calls.stop(call);
        long stopped = System.nanoTime();
        String answer = "";
        for (int i = 0; !answer.equals(VALUE) && (System.nanoTime() - stopped) / NANOS_PER_MS < LATEST_BACK_MS; i++) {
            Thread.sleep(ASKED_APART_MS);
            ask(client, "after" + i);
            answer = client.answer();
        }
        assertThat(answer).isEqualTo(VALUE);
    }

    @Test
    void readsAndWritesMayBeShort() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        calls.fail(Call.READ, FailingCalls.SHORT, 2, FailingCalls.ALWAYS);
        calls.fail(Call.WRITE, FailingCalls.SHORT, 2, FailingCalls.ALWAYS);
        for (int i = 0; i < 30; i++) {
            ask(client, "id" + i);
            assertThat(client.answer()).isEqualTo(VALUE);
        }
        assertThat(calls.failed(Call.READ)).isPositive();
    }

    @Test
    void waitsMayBeInterrupted() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        calls.fail(Call.EPOLL_WAIT, FailingCalls.EINTR, 3, FailingCalls.ALWAYS);
        for (int i = 0; i < 30; i++) {
            ask(client, "id" + i);
            assertThat(client.answer()).isEqualTo(VALUE);
        }
        assertThat(calls.failed(Call.EPOLL_WAIT)).isPositive();
    }

    /** Writes are blocked on a shared connection, and the client of the last command leaves meanwhile. */
    @Test
    void aCommandThatIsNotWrittenWhenItsClientLeavesIsNeverSent() throws Exception {
        sockets.cache.always = null;
        Sockets.Client first = sockets.start(folder, "").client();
        ask(first, "first");
        Sockets.Told open = sockets.cache.next();
        calls.fail(Call.WRITE, FailingCalls.EAGAIN, 1, FailingCalls.ALWAYS);
        Sockets.Client leaves = sockets.client();
        ask(leaves, "left");
        Thread.sleep(200);
        assertThat(calls.failed(Call.WRITE)).isPositive();
        leaves.socket.close();
        Thread.sleep(300);
        calls.stop(Call.WRITE);
        ask(first, "second");
        assertThat(sockets.cache.next().words().get(2)).isEqualTo("second");
        open.answer(Sockets.hit("one"));
        assertThat(first.answer()).isEqualTo("one");
    }

    /** Rule 3 with writes blocked: a command that has not begun to be written to a node is never sent once the node drains. */
    @Test
    void aCommandThatIsNotWrittenWhenItsNodeDrainsIsNeverSent() throws Exception {
        sockets.cache.always = null;
        sockets.origin.always = Sockets.ok("elsewhere");
        Sockets.Client first = sockets.start(folder, "").client();
        ask(first, "first");
        Sockets.Told open = sockets.cache.next();
        Sockets.Told watch = sockets.list.next();
        calls.fail(Call.WRITE, FailingCalls.EAGAIN, 1, FailingCalls.ALWAYS);
        Sockets.Client second = sockets.client();
        ask(second, "second");
        Thread.sleep(200);
        watch.answer(Sockets.ok("{\"rev\":2,\"all\":false,\"targets\":[" + Sockets.entry("s-1", sockets.cache, "m", "draining") + "]}"));
        Thread.sleep(300);
        calls.stop(Call.WRITE);
        assertThat(second.answer()).matches("elsewhere|-BUSY.*");
        open.answer(Sockets.hit("one"));
        assertThat(first.answer()).isEqualTo("one");
        assertThat(sockets.cache.told.stream().map(Sockets.Told::words)).noneMatch(words -> words.contains("second"));
    }

    /** The list for the next process is written once the disk accepts writes again, even if it does not change again. */
    @ParameterizedTest
    @CsvSource({"FILE_OPEN,28", "FILE_WRITE,28", "FILE_WRITE,5", "FILE_WRITE,-1", "FILE_RENAME,5"})
    void aListThatCouldNotBeKeptIsKeptLater(Call call, int error) throws Exception {
        sockets.control = Sockets.freePort();
        sockets.start(folder, "").client();
        Path kept = folder.resolve("dappleseam-seats-1").resolve("127.0.0.1-" + sockets.port + "-list");
        awaitText(kept, "\"rev\":1");
        calls.fail(call, error, 1, FailingCalls.ALWAYS);
        String drains = Sockets.entry("s-1", sockets.cache, "m", "draining");
        sockets.list.next().answer(Sockets.ok("{\"rev\":2,\"all\":false,\"targets\":[" + drains + "]}"));
        for (int i = 0; i < 2000 && calls.failed(call) == 0; i++) {
            Thread.sleep(10);
        }
        Sockets.Client meanwhile = sockets.client(); // the first client may have been closed as idle by now
        ask(meanwhile, "meanwhile");
        assertThat(meanwhile.answer()).isNotEmpty();
        calls.stop(call);
        awaitText(kept, "\"state\":\"draining\"");
    }

    private static void awaitText(Path file, String text) throws Exception {
        for (int i = 0; i < 500 && !(Files.exists(file) && Files.readString(file).contains(text)); i++) {
            Thread.sleep(10);
        }
        assertThat(Files.readString(file)).contains(text);
    }

    /** Another process on the address is detected even if the lock folder could not be used at the start. */
    @Test
    void aFolderThatCouldNotBeUsedAtTheStartIsUsedLater() throws Exception {
        sockets.control = Sockets.freePort();
        Path blocked = Files.writeString(folder.resolve("dappleseam-seats-1"), "in the way");
        sockets.start(folder, "").client();
        Files.delete(blocked);
        awaitText(folder.resolve("dappleseam-seats-1").resolve("127.0.0.1-" + sockets.port + "-list"), "\"rev\":1");
    }

    @Test
    void theDoorAnswersInTimeThoughAcceptFailsAgainAndAgain() throws Exception {
        sockets.control = Sockets.freePort();
        sockets.start(folder, "").client();
        calls.fail(Call.ACCEPT, FailingCalls.ENFILE, 2, FailingCalls.ALWAYS);
        for (int i = 0; i < 10; i++) {
            assertThat(sockets.call("GET /control/ready")).startsWith("HTTP/1.1 200");
        }
    }
}
