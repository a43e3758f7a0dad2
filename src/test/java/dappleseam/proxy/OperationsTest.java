package dappleseam.proxy;

import static dappleseam.proxy.ServeFixture.hit;
import static dappleseam.proxy.ServeFixture.ok;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Operates the running program: control server, drains, reloads and upgrades. */
class OperationsTest {
    @TempDir
    Path folder;
    private ServeFixture fixture;
    private Process second;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        fixture.controlPort = ServeFixture.freePort();
    }

    @AfterEach
    void end() throws Exception {
        if (second != null) {
            second.destroyForcibly().waitFor();
        }
        fixture.close();
    }

    private static void sendRead(ServeFixture.Client client, String id) throws IOException {
        client.send("C.GET", "00000000000000aa", id, "c=read,d=9000");
    }

    private void awaitMetrics(String part) throws Exception {
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", part);
    }

    @Test
    void metricsCountWhatHappened() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        for (int i = 0; i < 3; i++) {
            sendRead(client, "id" + i);
            fixture.cache.next().answer(hit("value"));
            assertThat(client.answer()).isEqualTo("value");
        }
        client.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000", "v");
        fixture.origin.next().connection().close();
        assertThat(client.answer()).startsWith("-ERR");
        sendRead(client, "open");
        fixture.cache.next();
        awaitMetrics("app_pending 1\n");
        assertThat(fixture.request("GET /control/counters")).contains("app_completed_total{lane=\"read\"} 3\n",
                "app_failed_total{lane=\"put\"} 1\n", "app_rejected_total{lane=\"read\"} 0\n",
                "app_upstream_requests_total 5\n", "app_members 2\n", "app_members_unavailable 0\n",
                "app_config_reloads_total 0\n", "app_config_reload_errors_total 0\n");
    }

    /** Callers with incomplete requests must not block others from the control server. */
    @Test
    void controlServerAnswersDespiteIncompleteRequests() throws Exception {
        fixture.start(folder, "").client();
        List<Socket> incomplete = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Socket half = new Socket("127.0.0.1", fixture.controlPort);
            half.getOutputStream().write("GET /control/rea".getBytes(StandardCharsets.US_ASCII));
            incomplete.add(half);
        }
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/ready", "HTTP/1.1 200 OK");
        for (Socket half : incomplete) {
            half.setSoTimeout(10_000);
            assertThat(half.getInputStream().read()).isNegative(); // each is closed by the timeout
            half.close();
        }
    }

    @ParameterizedTest
    @CsvSource({"GET /control/nothing HTTP/1.1, 404", "POST /control/ready HTTP/1.1, 405",
        "GET /control/out-of-service HTTP/1.1, 405", "nonsense, 400", "'GET /control/ready HTTP/1.1\r\nbroken', 400",
        "'GET /control/ready HTTP/1.1\r\nTransfer-Encoding: chunked', 400",
        "'POST /control/in-service HTTP/1.1\r\nContent-Length: 99999', 413", "long, 431"})
    void invalidRequestsAreRefused(String head, String status) throws Exception {
        fixture.start(folder, "").client();
        String sent = head.equals("long") ? "GET /control/ready HTTP/1.1\r\nX: " + "x".repeat(6000) : head;
        assertThat(ServeFixture.request(fixture.controlPort, sent)).startsWith("HTTP/1.1 " + status);
    }

    @Test
    void unavailableControlAddressIsReported() throws Exception {
        fixture.controlPort = fixture.list.server.getLocalPort();
        fixture.start(folder, "");
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isEqualTo(1);
        assertThat(Files.readString(folder.resolve("log"))).contains("dappleseam serve: control: ");
    }

    /** Rule 1 in a drain: open queries are answered before their connection closes, and idle connections close. */
    @Test
    void drainSendsClientsAway() throws Exception {
        ServeFixture.Client busy = fixture.start(folder, "").client();
        ServeFixture.Client idle = fixture.client();
        idle.send("PING");
        assertThat(idle.answer()).isEqualTo("+PONG");
        sendRead(busy, "id1");
        ServeFixture.Received incoming = fixture.cache.next();
        assertThat(fixture.request("POST /control/out-of-service")).startsWith("HTTP/1.1 200");
        assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 503");
        ServeFixture.Client lateClient = fixture.client();
        lateClient.send("PING");
        assertThat(lateClient.answer()).startsWith("-ERR");
        assertThat(idle.isAtEnd()).isTrue();
        assertThat(lateClient.isAtEnd()).isTrue();
        incoming.answer(hit("value"));
        assertThat(busy.answer()).isEqualTo("value");
        assertThat(busy.isAtEnd()).isTrue();
        assertThat(fixture.request("POST /control/in-service")).startsWith("HTTP/1.1 200");
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/ready", "HTTP/1.1 200");
        ServeFixture.Client again = fixture.client();
        again.send("PING");
        assertThat(again.answer()).isEqualTo("+PONG");
    }

    /** 4 s after the request no connection may carry a query of the last 2 s, even that of a client that is never idle. */
    @Test
    void drainEndsTheConnectionOfABusyClient() throws Exception {
        fixture.origin.constantAnswer = ServeFixture.ok("value");
        Thread cache = new Thread(() -> {
            try {
                while (true) {
                    ServeFixture.Received incoming = fixture.cache.next();
                    Thread.sleep(30);
                    incoming.answer(hit("value"));
                }
            } catch (IOException | InterruptedException | AssertionError e) {
                return; // the test is over
            }
        });
        cache.setDaemon(true);
        cache.start();
        ServeFixture.Client client = fixture.start(folder, "").client();
        long id = 0;
        for (; id < 3; id++) { // from here on some queries are always in flight
            sendRead(client, "id" + id);
        }
        assertThat(fixture.request("POST /control/out-of-service")).startsWith("HTTP/1.1 200");
        long until = System.nanoTime() + 4_000_000_000L;
        boolean isOpen = true;
        try {
            for (; isOpen && System.nanoTime() < until; id++) {
                sendRead(client, "id" + id);
                assertThat(client.answer()).matches("value|-BUSY.*");
            }
        } catch (IOException e) { // the unread query is reset, and the client would send it elsewhere
            isOpen = false;
        }
        assertThat(isOpen).isFalse();
    }

    private static final String OLD_GRADES = """
            {"name":"read","semantics":"read_like","sloTimeS":20,"statementTimeoutS":30},
            {"name":"put","semantics":"read_like","sloTimeS":20,"statementTimeoutS":30}""";

    /** Rule 2 over new settings: queries accepted as repeatable stay so, later ones are not repeated. */
    @Test
    void openQueriesKeepTheirGradeOverNewSettings() throws Exception {
        fixture.grades = OLD_GRADES;
        ServeFixture.Client before = fixture.start(folder, "").client();
        before.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000", "v");
        ServeFixture.Received first = fixture.origin.next();
        fixture.grades = OLD_GRADES.replace("\"put\",\"semantics\":\"read_like\"", "\"put\",\"semantics\":\"non_idempotent\"")
                .replace("\"read\"", "\"fresh\"");
        fixture.config(folder, "");
        fixture.sendHangUp();
        awaitMetrics("app_config_reloads_total 1\n");
        ServeFixture.Client after = fixture.client();
        after.send("C.SET", "00000000000000ab", "w2", "c=put,d=9000", "v");
        ServeFixture.Received second = fixture.origin.next();
        first.connection().close();
        assertThat(fixture.origin.next().elements()).contains("X-Correlation-Id: w1"); // repeated, as its grade allowed when it was accepted
        second.connection().close();
        assertThat(after.answer()).startsWith("-ERR");
        after.send("C.GET", "00000000000000aa", "r1", "c=fresh,d=9000");
        fixture.cache.next().answer(hit("value"));
        assertThat(after.answer()).isEqualTo("value");
        after.send("C.GET", "00000000000000aa", "r2", "c=read,d=9000");
        assertThat(after.answer()).startsWith("-ERR");
        assertThat(fixture.request("GET /control/counters")).contains("app_completed_total{lane=\"fresh\"} 1\n",
                "app_completed_total{lane=\"read\"} 0\n", "app_failed_total{lane=\"put\"} 1\n");
    }

    /** A broken file leaves all old settings in force, and is counted. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"empty | . | config.json", "cut | . | config.json", "\"retryAfter\":true, | '' | settings.ceilings.retryAfter",
        "\"mostExecutions\":3 | \"mostExecutions\":0 | settings.ceilings.mostExecutions",
        "\"statementTimeoutS\":30} | \"statementTimeoutS\":0} | settings.serviceGrades[0].statementTimeoutS"})
    void brokenFileChangesNothing(String sound, String faulty, String key) throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        fixture.grades = fixture.grades.replace("\"read\"", "\"fresh\"");
        String text = Files.readString(fixture.config(folder, ""));
        Files.writeString(folder.resolve("config.json"), sound.equals("empty") ? ""
                : sound.equals("cut") ? text.substring(0, text.length() / 2) : text.replace(sound, faulty));
        fixture.sendHangUp();
        awaitMetrics("app_config_reload_errors_total 1\n");
        fixture.awaitLog(folder, "configuration not taken: " + key);
        sendRead(client, "id1");
        fixture.cache.next().answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(fixture.request("GET /control/counters")).contains("app_config_reloads_total 0\n").doesNotContain("fresh");
    }

    /** Guards against a grade that loses a key at SIGHUP, as from a file that was cut by hand: it would go by a default. */
    @Test
    void gradeThatLacksAKeyOfTheLastFileIsRefused() throws Exception {
        fixture.grades = OLD_GRADES.replace("\"semantics\":\"read_like\",\"sloTimeS\":20,\"statementTimeoutS\":30}",
                "\"semantics\":\"idempotency_key\",\"group\":\"zone\",\"windowS\":5,\"sloTimeS\":20,\"statementTimeoutS\":30}");
        fixture.start(folder, "").client();
        String sound = fixture.grades;
        int errors = 0;
        for (String key : List.of("\"group\":\"zone\",", "\"windowS\":5,")) {
            fixture.grades = sound.replaceFirst(key, "");
            fixture.config(folder, "");
            fixture.sendHangUp();
            awaitMetrics("app_config_reload_errors_total " + ++errors + "\n");
            fixture.awaitLog(folder, "configuration not taken: settings.serviceGrades[0]." + key.split("\"")[1] + ": is missing");
        }
        fixture.grades = "{\"name\":\"fresh\",\"semantics\":\"read_like\",\"sloTimeS\":20,\"statementTimeoutS\":30}," // another grade, and another effect of an old one
                + "{\"name\":\"put\",\"semantics\":\"read_like\",\"sloTimeS\":20,\"statementTimeoutS\":30}";
        fixture.config(folder, "");
        fixture.sendHangUp();
        awaitMetrics("app_config_reloads_total 1\n");
    }

    private int startSecond() throws Exception {
        int first = fixture.controlPort;
        fixture.controlPort = ServeFixture.freePort();
        second = fixture.launch(folder, fixture.config(folder, ""));
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/ready", "HTTP/1.1 200");
        return first;
    }

    /** Rules 1 and 2 in an upgrade: a write that is open at the old process runs once and is answered there. */
    @Test
    void newProcessTakesOverUnderLoad() throws Exception {
        ServeFixture.Client writer = fixture.start(folder, "").client();
        writer.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000", "v");
        ServeFixture.Received incoming = fixture.origin.next();
        startSecond();
        fixture.program.destroy(); // SIGTERM
        fixture.awaitLog(folder, "another process takes the clients");
        for (int i = 0; i < 200; i++) { // all reach the new process: none is refused, reset or left unread
            ServeFixture.Client client = new ServeFixture.Client(new Socket("127.0.0.1", fixture.port));
            client.send("PING");
            assertThat(client.answer()).isEqualTo("+PONG");
            client.socket.close();
        }
        incoming.answer(ok("receipt"));
        assertThat(writer.answer()).isEqualTo("receipt");
        assertThat(writer.isAtEnd()).isTrue();
        assertThat(fixture.program.waitFor(2, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.origin.received.stream().filter(t -> t.elements().get(0).startsWith("PUT"))).isEmpty();
        assertThat(second.isAlive()).isTrue();
    }

    /** Guards against an id that runs at the old process, whose client has left, and again at the new one. */
    @Test
    void idTakenByTheOldProcessIsNotTakenByTheNewOne() throws Exception {
        ServeFixture.Client writer = fixture.start(folder, "").client();
        writer.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000", "v");
        fixture.origin.next();
        startSecond();
        writer.socket.close();
        fixture.program.destroy(); // SIGTERM
        fixture.awaitLog(folder, "another process takes the clients");
        assertThat(fixture.program.waitFor(20, TimeUnit.SECONDS)).isTrue();
        ServeFixture.Client again = new ServeFixture.Client(new Socket("127.0.0.1", fixture.port));
        again.send("C.SET", "00000000000000aa", "w1", "c=put,d=9000", "v");
        assertThat(again.answer()).startsWith("-ERR");
        assertThat(fixture.origin.received.stream().filter(t -> t.elements().get(0).startsWith("PUT"))).isEmpty();
        assertThat(second.isAlive()).isTrue();
    }

    /** If the new process of an upgrade dies, the old one serves on, and treats a later SIGTERM as the only process. */
    @Test
    void oldProcessServesOnWhenTheNewOneDies() throws Exception {
        fixture.start(folder, "").client();
        int oldControlPort = startSecond();
        second.destroyForcibly().waitFor();
        fixture.awaitLog(folder, "alone on this address");
        ServeFixture.Client client = fixture.client();
        sendRead(client, "id1");
        fixture.cache.next().answer(hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(ServeFixture.request(oldControlPort, "GET /control/ready HTTP/1.1")).startsWith("HTTP/1.1 200");
        fixture.program.destroy();
        fixture.awaitLog(folder, "no other process is here");
    }

    /** Rule 3 in an upgrade: a drain known to the old process holds in the new one, even with the list service down. */
    @Test
    void newProcessKeepsTheDrainsKnownToTheOldOne() throws Exception {
        fixture.start(folder, "").client();
        String list = "{\"rev\":7,\"all\":true,\"targets\":[" + ServeFixture.entry("s-1", fixture.cache, "m", "draining") + ","
                + ServeFixture.entry("s-0", fixture.origin, "origin", "ready") + "]}";
        fixture.list.next().answer(ok(list));
        fixture.awaitLog(folder, "DRAINING");
        awaitMetrics("app_members_unavailable 1\n");
        Thread.sleep(500); // the old process writes it within 0.1 s
        startSecond();
        fixture.awaitLog(folder, "list taken over at version 7, the file had 1");
        fixture.program.destroy();
        fixture.awaitLog(folder, "another process takes the clients");
        ServeFixture.Client client = fixture.client();
        sendRead(client, "id1");
        fixture.origin.next().answer(ok("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(fixture.cache.received).isEmpty();
    }

    /** Node health of the old process reaches the new one, for the first seconds after a switch; a start does not depend on it. */
    @Test
    void newProcessInheritsNodeHealth() throws Exception {
        fixture.start(folder, "").client();
        fixture.awaitLog(folder, "nothing learnt is taken over");
        ServeFixture.Client client = fixture.client();
        sendRead(client, "id1");
        fixture.cache.next().answer("-BUSY\r\n");
        fixture.origin.next().answer(ok("value"));
        assertThat(client.answer()).isEqualTo("value");
        Thread.sleep(1500); // it is written once a second
        startSecond();
        fixture.awaitLog(folder, "learnt before of 1 nodes");
    }

    /** The control server has to answer while the proxy is busy and clients hold all its connections. */
    @Test
    void controlServerAnswersInTimeWhileClientsUseAllConnections() throws Exception {
        fixture.descriptorLimit = 160;
        fixture.start(folder, "").client();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            silent.add(new Socket("127.0.0.1", fixture.port));
        }
        byte[] flood = "*1\r\n$4\r\nPING\r\n".repeat(1000).getBytes(StandardCharsets.US_ASCII);
        List<Thread> busy = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ServeFixture.Client client = fixture.client();
            Thread sender = new Thread(() -> {
                try {
                    while (true) {
                        client.socket.getOutputStream().write(flood);
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            Thread taker = new Thread(() -> {
                try {
                    while (!client.isAtEnd()) {
                        client.bytes(1 << 16);
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            busy.addAll(List.of(sender, taker));
        }
        busy.forEach(thread -> {
            thread.setDaemon(true);
            thread.start();
        });
        for (int i = 0; i < 30; i++) { // each call waits 1 s at most
            assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 200");
            assertThat(fixture.request("GET /control/counters")).contains("app_members 2\n");
        }
        assertThat(fixture.request("POST /control/out-of-service")).startsWith("HTTP/1.1 200");
        assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 503");
        for (Socket one : silent) {
            one.close();
        }
    }
}
