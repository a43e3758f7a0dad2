package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each query that was taken has its whole answer in its time, whatever servers and other clients do; on real processes. */
class LostAnswersTest {
    private static final String GRADES = """
            {"name":"read","semantics":"read_like","sloTimeS":20,"statementTimeoutS":30},
            {"name":"put","semantics":"non_idempotent","sloTimeS":20,"statementTimeoutS":30},
            {"name":"pay","semantics":"idempotency_key","group":"all","windowS":2,"sloTimeS":1,"statementTimeoutS":3}""";
    private static final long TIME_MS = 1500;
    /** How late an answer may be at most: it earns nothing then, and is lost after that. */
    private static final long ALLOWED_LATENESS_MS = 550;
    private static final double NANOS_PER_MS = 1e6;

    @TempDir
    Path folder;
    private ServeFixture fixture;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        fixture.grades = GRADES;
    }

    @AfterEach
    void end() throws Exception {
        String log = Files.readString(folder.resolve("log"));
        System.out.println(log.lines().filter(line -> line.contains("WARNING") || line.contains("ERROR")).limit(20).reduce("", (a, b) -> a + b + "\n"));
        fixture.close();
    }

    private interface Task {
        void run() throws Exception;
    }

    private static Thread start(List<String> breaches, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                breaches.add("failed: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static List<String> newBreaches() {
        return Collections.synchronizedList(new ArrayList<>());
    }

    /** Answers each request in the background, each with a text of its own. */
    private static void answerAll(ServeFixture.StubPeer peer, String text) {
        Thread thread = new Thread(() -> {
            int number = 0;
            try {
                while (true) {
                    ServeFixture.Received next = peer.next();
                    try {
                        next.answer(text.replace("NUMBER", String.format("%06d", ++number)));
                    } catch (IOException e) {
                        continue; // the proxy has stopped waiting
                    }
                }
            } catch (InterruptedException | AssertionError e) {
                return; // the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers each read in a thread of its own, by its key. */
    private static void answerEach(ServeFixture.StubPeer peer, UnaryOperator<String> answer) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    ServeFixture.Received next = peer.next();
                    start(newBreaches(), () -> {
                        synchronized (next.connection()) {
                            next.answer(answer.apply(next.elements().get(1)));
                        }
                    });
                }
            } catch (InterruptedException | AssertionError e) {
                return; // the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends one write and waits for its answer; returns how long that took, in ms from the last byte. */
    private static double write(ServeFixture.Client client, String id, int bytes, long timeMs) throws IOException {
        client.send("C.SET", "00000000000000aa", id, "c=pay,k=" + id + ",d=" + timeMs, "x".repeat(bytes));
        long sentAt = System.nanoTime();
        client.answer();
        return (System.nanoTime() - sentAt) / NANOS_PER_MS;
    }

    private List<String> writeTogether(int writers, int writesEach, int seed, int leastBytes, int mostBytes, double allowedMs) throws Exception {
        List<String> breaches = newBreaches();
        List<Thread> threads = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < writers; i++) {
            SplittableRandom own = random.split();
            String name = "w" + i + "-";
            threads.add(start(breaches, () -> {
                ServeFixture.Client client = fixture.client();
                for (int j = 0; j < writesEach; j++) {
                    int bytes = leastBytes + own.nextInt(mostBytes - leastBytes + 1);
                    double tookMs = write(client, name + j, bytes, TIME_MS);
                    if (tookMs > allowedMs) {
                        breaches.add(name + j + " of " + bytes + " bytes was answered after " + Math.round(tookMs) + " of " + TIME_MS + " ms");
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return breaches;
    }

    /** Guards against input that was taken from the socket and then stood in the program until the next check for silent clients. */
    @Test
    void longWritesAreNotHeldUpWithNothingWrong() throws Exception {
        fixture.start(folder, "").client();
        answerAll(fixture.origin, ServeFixture.ok("receipt-NUMBER"));
        assertThat(writeTogether(5, 40, 1, 300_000, 1_000_000, TIME_MS)).isEmpty();
    }

    /** Guards against final answers that come seconds late where the origin takes a long write slowly. */
    @ParameterizedTest
    @ValueSource(ints = {10_000, 95_000, 1_000_000})
    void longWritesToASlowOriginAreAnsweredInTheirTime(int bytesPerSecond) throws Exception {
        fixture.origin.server.setReceiveBufferSize(16 << 10);
        fixture.origin.bodyBytesPerSecond = bytesPerSecond;
        fixture.start(folder, "").client();
        answerAll(fixture.origin, ServeFixture.ok("receipt-NUMBER"));
        assertThat(writeTogether(5, 3, 2, 300_000, 4_000_000, TIME_MS + ALLOWED_LATENESS_MS)).isEmpty();
    }

    private static String command(String id, String key) {
        return "*4\r\n$5\r\nC.GET\r\n$16\r\n" + key + "\r\n$" + id.length() + "\r\n" + id + "\r\n$14\r\nc=read,d=20000\r\n";
    }

    /** A large value of which the cache sends only a part. */
    private static void sendPart(ServeFixture.Received request, int bytes, int part) throws IOException {
        OutputStream out = request.connection().getOutputStream();
        out.write(("*3\r\n$" + bytes + "\r\n" + "v".repeat(part)).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private ServeFixture.Client pipeline() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        client.raw(command("one", "00000000000000a1") + command("long", "00000000000000a2") + command("three", "00000000000000a3"));
        return client;
    }

    /** Guards against a close over whole answers, and over commands behind, when a long value breaks off before any of it was passed on. */
    @Test
    void aLongValueThatBreaksOffBehindAnotherCommandCostsOnlyItself() throws Exception {
        ServeFixture.Client client = pipeline();
        ServeFixture.Received one = fixture.cache.command("one");
        ServeFixture.Received broken = fixture.cache.command("long");
        ServeFixture.Received three = fixture.cache.command("three");
        sendPart(broken, 900_000, 200_000);
        Thread.sleep(100); // the part arrives while the first command is still open
        broken.connection().close();
        three.answer(ServeFixture.hit("third"));
        Thread.sleep(100);
        one.answer(ServeFixture.hit("first"));
        assertThat(client.answer()).isEqualTo("first");
        assertThat(client.answer()).startsWith("-");
        assertThat(client.answer()).isEqualTo("third");
    }

    /** Guards against the same for commands behind a long value that comes first. */
    @Test
    void aLongValueThatBreaksOffBeforeOtherCommandsCostsOnlyItself() throws Exception {
        ServeFixture.Client client = pipeline();
        ServeFixture.Received one = fixture.cache.command("one");
        ServeFixture.Received broken = fixture.cache.command("long");
        ServeFixture.Received three = fixture.cache.command("three");
        one.answer(ServeFixture.hit("first"));
        assertThat(client.answer()).isEqualTo("first");
        sendPart(broken, 900_000, 200_000);
        three.answer(ServeFixture.hit("third"));
        Thread.sleep(100);
        broken.connection().close();
        assertThat(client.answer()).startsWith("-");
        assertThat(client.answer()).isEqualTo("third");
    }

    /** Guards against commands that go down with a long value before them, which breaks off after its server has written it for seconds. */
    @Test
    void aLongValueThatBreaksOffAfterSecondsCostsOnlyItself() throws Exception {
        ServeFixture.Client client = pipeline();
        fixture.cache.command("one").answer(ServeFixture.hit("first"));
        ServeFixture.Received broken = fixture.cache.command("long");
        fixture.cache.command("three").answer(ServeFixture.hit("third"));
        sendPart(broken, 900_000, 200_000);
        for (int i = 0; i < 9; i++) {
            Thread.sleep(250);
            broken.answer("v".repeat(50_000));
        }
        broken.connection().close();
        assertThat(client.answer()).isEqualTo("first");
        assertThat(client.answer()).startsWith("-");
        assertThat(client.answer()).isEqualTo("third");
    }

    /** Guards against a long value that is held back past its client's time, when its server writes it for longer. */
    @Test
    void aLongValueBeforeOtherCommandsBeginsInItsClientsTime() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        long startedAt = System.nanoTime();
        client.raw(command("long", "00000000000000a2").replace("$14\r\nc=read,d=20000", "$13\r\nc=read,d=3000") + command("three", "00000000000000a3"));
        ServeFixture.Received slow = fixture.cache.command("long");
        fixture.cache.command("three").answer(ServeFixture.hit("third"));
        sendPart(slow, 900_000, 200_000);
        Thread writer = start(newBreaches(), () -> {
            for (int i = 0; i < 14; i++) {
                Thread.sleep(250);
                slow.answer("v".repeat(50_000));
            }
            sendRest(slow, 0);
        });
        assertThat(new String(client.bytes(9), StandardCharsets.ISO_8859_1)).isEqualTo("$900000\r\n");
        assertThat((System.nanoTime() - startedAt) / NANOS_PER_MS).isLessThan(3000);
        assertThat(client.bytes(900_002)).endsWith("v\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertThat(client.answer()).isEqualTo("third");
        writer.join();
    }

    private static void sendRest(ServeFixture.Received request, int bytes) throws IOException {
        request.answer("v".repeat(bytes) + "\r\n$3\r\nhit\r\n$-1\r\n");
    }

    /** Guards against a long value that is held back from its client for as long as its server takes. */
    @Test
    void aLongValueBeforeOtherCommandsIsNotHeldBackForLong() throws Exception {
        ServeFixture.Client client = pipeline();
        fixture.cache.command("one").answer(ServeFixture.hit("first"));
        ServeFixture.Received slow = fixture.cache.command("long");
        fixture.cache.command("three").answer(ServeFixture.hit("third"));
        assertThat(client.answer()).isEqualTo("first");
        sendPart(slow, 900_000, 200_000);
        long startedAt = System.nanoTime();
        assertThat(new String(client.bytes(9), StandardCharsets.ISO_8859_1)).isEqualTo("$900000\r\n");
        assertThat((System.nanoTime() - startedAt) / NANOS_PER_MS).isLessThan(2000);
        sendRest(slow, 700_000);
        assertThat(client.bytes(900_002)).endsWith("v\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertThat(client.answer()).isEqualTo("third");
    }

    /** Guards against commands that are forgotten while a long value before them is passed on. */
    @Test
    void commandsSentWhileALongValueIsPassedOnAreAnsweredBehindIt() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        client.raw(command("long", "00000000000000a2"));
        ServeFixture.Received slow = fixture.cache.command("long");
        sendPart(slow, 900_000, 200_000);
        assertThat(new String(client.bytes(9), StandardCharsets.ISO_8859_1)).isEqualTo("$900000\r\n");
        client.raw(command("behind", "00000000000000a3") + command("last", "00000000000000a4"));
        sendRest(slow, 700_000);
        assertThat(client.bytes(900_002)).endsWith("v\r\n".getBytes(StandardCharsets.ISO_8859_1));
        fixture.cache.command("behind").answer(ServeFixture.hit("second"));
        fixture.cache.command("last").answer(ServeFixture.hit("third"));
        assertThat(List.of(client.answer(), client.answer())).containsExactly("second", "third");
    }

    /** Guards against the time of a long value counted as the wait of a query that its client sends later. */
    @Test
    void aQuerySentAfterALongValueHasItsWholeTime() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        client.raw(command("long", "00000000000000a2"));
        ServeFixture.Received slow = fixture.cache.command("long");
        sendPart(slow, 900_000, 200_000);
        assertThat(client.bytes(9)).startsWith("$900000".getBytes(StandardCharsets.ISO_8859_1));
        sendRest(slow, 700_000);
        client.bytes(900_002);
        Thread.sleep(TIME_MS); // the client is silent
        client.send("C.GET", "00000000000000a3", "later", "c=read,d=" + TIME_MS);
        fixture.cache.command("later").answer(ServeFixture.hit("second"));
        assertThat(client.answer()).isEqualTo("second");
    }

    /** Guards against whole answers thrown away with a long value that breaks off behind them, after a part of it was passed on. */
    @Test
    void wholeAnswersLeaveBeforeALongValueThatBreaksOff() throws Exception {
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        client.raw(command("one", "00000000000000a1") + command("long", "00000000000000a2"));
        ServeFixture.Received broken = fixture.cache.command("long");
        sendPart(broken, 900_000, 40_000);
        Thread.sleep(50);
        String first = "first" + "x".repeat(50_000);
        fixture.cache.command("one").answer(ServeFixture.hit(first));
        broken.connection().close();
        assertThat(client.answer()).isEqualTo(first);
        assertThat(client.rest().length).isLessThan(900_000);
    }

    /** Guards against a long answer that is cut off while its server still writes it, with the least memory that operators name. */
    @Test
    void aLongValueThatItsServerWritesSlowlyIsPassedOnWhole() throws Exception {
        fixture.memoryMb = 32;
        fixture.jvmFlags = fixture.launcherMemoryFlags(folder);
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        client.send("C.GET", "00000000000000a2", "long", "c=read,d=" + TIME_MS);
        ServeFixture.Received slow = fixture.cache.command("long");
        sendPart(slow, 900_000, 100_000);
        for (int i = 0; i < 7; i++) {
            Thread.sleep(500);
            slow.answer("v".repeat(100_000));
        }
        sendRest(slow, 100_000);
        assertThat(new String(client.bytes(9), StandardCharsets.ISO_8859_1)).isEqualTo("$900000\r\n");
        assertThat(client.bytes(900_002)).endsWith("v\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Guards against commands that were read ahead and dropped when the proxy goes out of service. */
    @Test
    void commandsReadAheadAreAnsweredWhenOutOfService() throws Exception {
        fixture.controlPort = ServeFixture.freePort();
        fixture.start(folder, "");
        ServeFixture.Client client = fixture.client();
        answerAll(fixture.cache, ServeFixture.hit("value-NUMBER"));
        StringBuilder all = new StringBuilder("*5\r\n$5\r\nC.SET\r\n$2\r\na1\r\n$1\r\nw\r\n$12\r\nc=put,d=9000\r\n$1\r\nv\r\n");
        int half = 0;
        for (int i = 0; i < 220; i++) {
            half = i == 130 ? all.length() : half;
            all.append(command("id" + i, "00000000000000a1"));
        }
        client.raw(all.substring(0, half));
        Thread.sleep(50);
        client.raw(all.substring(half));
        Thread.sleep(200);
        assertThat(fixture.request("POST /control/out-of-service")).contains(" 200 ");
        ServeFixture.Received write = fixture.origin.next();
        Thread.sleep(2000);
        write.answer(ServeFixture.ok("receipt"));
        int answered = 0;
        try {
            for (; answered < 221; answered++) {
                client.answer();
            }
        } catch (IOException e) {
            // fewer than sent
        }
        assertThat(answered).isEqualTo(221);
    }

    /** Guards against long writes that wait without limit for buffers which slow writers hold. */
    @Test
    void longWritesBesideSlowWritersAreAnsweredInTheirTime() throws Exception {
        fixture.start(folder, "").client();
        answerAll(fixture.origin, ServeFixture.ok("receipt-NUMBER"));
        List<String> ignored = newBreaches();
        for (int i = 0; i < 3; i++) {
            int number = i;
            start(ignored, () -> writeSlowly(number, 4 << 20, 5000));
        }
        Thread.sleep(300);
        assertThat(writeTogether(8, 1, 3, 1 << 20, 1 << 20, TIME_MS + ALLOWED_LATENESS_MS)).isEmpty();
    }

    private void writeSlowly(int number, int bytes, int durationMs) throws Exception {
        ServeFixture.Client client = fixture.client();
        client.raw("*5\r\n$5\r\nC.SET\r\n$2\r\na" + number + "\r\n$2\r\ns" + number + "\r\n$16\r\nc=pay,d=3000,k=1\r\n$" + bytes + "\r\n");
        int parts = 100;
        for (int i = 0; i < parts; i++) {
            client.raw("x".repeat(bytes / parts + (i < bytes % parts ? 1 : 0)));
            Thread.sleep(durationMs / parts);
        }
        client.raw("\r\n");
    }

    /** Sends usual reads one after the other; returns those that are not answered with their value in their time. */
    private List<String> readsNotInTime() throws Exception {
        ServeFixture.Client client = fixture.client();
        List<String> breaches = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            long sentAt = System.nanoTime();
            client.send("C.GET", String.format("%016x", i), "u" + i, "c=read,d=" + TIME_MS);
            String answer = client.answer();
            double tookMs = (System.nanoTime() - sentAt) / NANOS_PER_MS;
            if (tookMs > TIME_MS || !answer.startsWith("value")) {
                breaches.add("u" + i + " was answered " + answer.substring(0, Math.min(20, answer.length())) + " after " + Math.round(tookMs) + " ms");
            }
        }
        return breaches;
    }

    /** Guards against short commands that are not read while clients which stopped half way hold the buffers. */
    @Test
    void clientsThatStopHalfWayHoldUpNobody() throws Exception {
        fixture.memoryMb = 64;
        fixture.start(folder, "").client();
        answerAll(fixture.cache, ServeFixture.hit("value-NUMBER"));
        List<Socket> stopped = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Socket one = new Socket("127.0.0.1", fixture.port);
            String shortFields = "*8\r\n" + "$1\r\na\r\n".repeat(7) + "$1\r\n";
            String halfValue = "*5\r\n$5\r\nC.SET\r\n$2\r\naa\r\n$1\r\ni\r\n$16\r\nc=pay,d=3000,k=1\r\n$60000\r\n" + "x".repeat(30_000);
            one.getOutputStream().write((i % 2 == 0 ? shortFields : halfValue).getBytes(StandardCharsets.ISO_8859_1));
            stopped.add(one);
        }
        List<String> breaches = readsNotInTime();
        for (Socket one : stopped) {
            one.close();
        }
        assertThat(breaches).isEmpty();
    }

    /** Guards against buffers that are all held by answers which some clients don't read. */
    @Test
    void clientsThatDoNotReadTheirAnswersHoldUpNobody() throws Exception {
        fixture.memoryMb = 64;
        fixture.start(folder, "").client();
        String longValue = "x".repeat(300_000);
        answerEach(fixture.cache, key -> key.startsWith("f") ? ServeFixture.hit(key + longValue) : ServeFixture.hit("value-of-" + key));
        List<Socket> deaf = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Socket one = new Socket();
            one.setReceiveBufferSize(4 << 10);
            one.connect(new InetSocketAddress("127.0.0.1", fixture.port));
            StringBuilder all = new StringBuilder();
            for (int j = 0; j < 100; j++) {
                all.append(command("d" + i + "-" + j, String.format("f%015x", 1000 * i + j)));
            }
            one.getOutputStream().write(all.toString().getBytes(StandardCharsets.ISO_8859_1));
            deaf.add(one);
        }
        Thread.sleep(1000);
        List<String> breaches = readsNotInTime();
        for (Socket one : deaf) {
            one.close();
        }
        assertThat(breaches).isEmpty();
    }

    /** Guards against one turn of the I/O thread that lasts as long as bad clients keep coming back. */
    @Test
    void clientsThatConnectAtFullSpeedHoldUpNobody() throws Exception {
        fixture.start(folder, "").client();
        answerAll(fixture.cache, ServeFixture.hit("value-NUMBER"));
        List<String> ignored = newBreaches();
        long until = System.nanoTime() + (long) (6000 * NANOS_PER_MS);
        byte[] bad = "*4\r\n$5\r\nC.GET\r\n$2\r\naa\r\n$1\r\ni\r\n$13\r\nc=none,d=2000\r\n".repeat(300).getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < 30; i++) {
            start(ignored, () -> comeBack(bad, until));
        }
        ServeFixture.Client client = fixture.client();
        List<String> breaches = newBreaches();
        for (int i = 0; System.nanoTime() < until; i++) {
            long sentAt = System.nanoTime();
            client.send("C.GET", String.format("%016x", i), "u" + i, "c=read,d=" + TIME_MS);
            client.answer();
            double tookMs = (System.nanoTime() - sentAt) / NANOS_PER_MS;
            if (tookMs > TIME_MS + ALLOWED_LATENESS_MS) {
                breaches.add("u" + i + " was answered after " + Math.round(tookMs) + " ms");
            }
            Thread.sleep(5);
        }
        assertThat(breaches).isEmpty();
    }

    private void comeBack(byte[] commands, long until) throws Exception {
        while (System.nanoTime() < until) {
            try (Socket socket = new Socket("127.0.0.1", fixture.port)) {
                socket.getOutputStream().write(commands);
                InputStream in = socket.getInputStream();
                byte[] buffer = new byte[64 << 10];
                for (int lines = 0; lines < 300; ) {
                    int count = in.read(buffer);
                    if (count < 0) {
                        break;
                    }
                    for (int i = 0; i < count; i++) {
                        lines += buffer[i] == '\n' ? 1 : 0;
                    }
                }
            } catch (IOException e) {
                continue; // closed or refused: it comes back
            }
        }
    }
}
