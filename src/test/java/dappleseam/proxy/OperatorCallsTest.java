package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Operators' calls to the running program in each of its phases: what was answered with yes stays true, and ready and PING agree. */
class OperatorCallsTest {
    /** A phase of the program, and how a test gets there. */
    private enum At {
        STARTING, WAITING_FOR_LIST, LISTENING;

        void await(OperatorCallsTest test) throws Exception {
            switch (this) {
                case STARTING -> ServeFixture.awaitAnswer(test.fixture.controlPort, "GET /control/ready", "HTTP/1.1 ");
                case WAITING_FOR_LIST -> test.fixture.awaitLog(test.folder, "waiting for the first list");
                case LISTENING -> test.awaitListening();
            }
        }
    }

    /** Connections asked by PING: where two processes listen, each gets some. */
    private static final int PINGS = 20;
    private static final int FLOODS = 4;

    @TempDir
    Path folder;
    private ServeFixture fixture;
    /** Another process on the same address; null if there is none. */
    private Process second;
    private ServeFixture.Client client;
    private ServeFixture.Received openQuery;

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

    /** Starts another process on the address, with a control address of its own, and waits until it listens. */
    private void startSecond() throws Exception {
        Files.writeString(folder.resolve("log"), ""); // of the first one
        fixture.controlPort = ServeFixture.freePort();
        fixture.list.firstAnswer = ServeFixture.unchangedList(1);
        second = fixture.launch(folder, fixture.config(folder, ""));
        awaitListening();
    }

    /** Starts the program while the list service says nothing, so that its start takes a second and a half. */
    private void startWaitingForList() throws Exception {
        fixture.list.firstAnswer = null;
        fixture.start(folder, "");
    }

    private void startListening() throws Exception {
        fixture.start(folder, "");
        awaitListening();
    }

    private void awaitListening() throws Exception {
        fixture.awaitLog(folder, "serves on");
    }

    private void awaitReady(int control, boolean expected) throws Exception {
        ServeFixture.awaitAnswer(control, "GET /control/ready", expected ? "HTTP/1.1 200" : "HTTP/1.1 503");
    }

    private void call(String name, int status) throws Exception {
        assertThat(fixture.request("POST /control/" + name)).startsWith("HTTP/1.1 " + status);
    }

    private String ping() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", fixture.port)) {
            ServeFixture.Client pinging = new ServeFixture.Client(socket);
            pinging.send("PING");
            return pinging.answer();
        }
    }

    private void assertTakesClients(boolean expected) throws Exception {
        assertThat(fixture.request("GET /control/ready")).startsWith(expected ? "HTTP/1.1 200" : "HTTP/1.1 503");
        for (int i = 0; i < PINGS; i++) {
            assertThat(ping()).startsWith(expected ? "+PONG" : "-ERR");
        }
    }

    /** Guards against a call out of service that is answered with yes and forgotten by a process that does not listen yet. */
    @ParameterizedTest
    @EnumSource
    void outOfServiceHoldsUntilInService(At phase) throws Exception {
        startWaitingForList();
        phase.await(this);
        call("out-of-service", 200);
        awaitListening();
        assertTakesClients(false);
        call("in-service", 200);
        assertTakesClients(true);
    }

    /** Guards against an earlier call that outlives the one that ended it. */
    @ParameterizedTest
    @EnumSource
    void lastCallOfSeveralHolds(At phase) throws Exception {
        startWaitingForList();
        phase.await(this);
        call("out-of-service", 200);
        call("in-service", 200);
        call("out-of-service", 200);
        call("out-of-service", 200);
        call("in-service", 200);
        call("in-service", 200);
        awaitListening();
        assertTakesClients(true);
    }

    /** Starts the program with a query open at the cache, which keeps it from ending at once. */
    private void startWithOpenQuery() throws Exception {
        startListening();
        client = fixture.client();
        client.send("C.GET", "00000000000000aa", "id", "c=read,d=9000");
        openQuery = fixture.cache.next();
    }

    /** Guards against an ending process that says ready again, or that answers calls with yes which it forgets. */
    @ParameterizedTest
    @CsvSource({"in-service, false", "out-of-service, false", "in-service, true", "out-of-service, true"})
    void endingProcessRefusesCalls(String call, boolean handsOver) throws Exception {
        startWithOpenQuery();
        int control = fixture.controlPort;
        if (handsOver) {
            startSecond();
        }
        fixture.program.destroy(); // SIGTERM
        fixture.awaitLog(folder, "told to end");
        for (int i = 0; i < 20; i++) { // a yes that takes effect on another thread shows later
            assertThat(ServeFixture.request(control, "POST /control/" + call + " HTTP/1.1")).startsWith("HTTP/1.1 503");
            assertThat(ServeFixture.request(control, "GET /control/ready HTTP/1.1")).startsWith("HTTP/1.1 503");
        }
    }

    /** Guards against PING that says yes in a process of which ready says no. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endingProcessRefusesPing(boolean handsOver) throws Exception {
        startWithOpenQuery();
        int control = fixture.controlPort;
        if (handsOver) {
            startSecond();
        }
        fixture.program.destroy(); // SIGTERM
        fixture.awaitLog(folder, "told to end");
        assertThat(ServeFixture.request(control, "GET /control/ready HTTP/1.1")).startsWith("HTTP/1.1 503");
        client.send("PING");
        openQuery.answer(ServeFixture.hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(client.answer()).startsWith("-ERR");
    }

    /** Guards against a drain that a new version forgets: the two processes of an upgrade are one proxy. */
    @Test
    void processThatTakesOverIsOutOfServiceAsTheOldOne() throws Exception {
        startListening();
        call("out-of-service", 200);
        startSecond();
        assertTakesClients(false);
        fixture.program.destroy(); // SIGTERM
        fixture.awaitLog(folder, "another process takes the clients");
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        fixture.awaitLog(folder, "alone on this address");
        assertTakesClients(false);
        call("in-service", 200);
        assertTakesClients(true);
    }

    /** Guards against a call to one of two processes that the other one does not hear of. */
    @Test
    void callToOneProcessHoldsForBoth() throws Exception {
        startListening();
        int firstControl = fixture.controlPort;
        startSecond();
        for (int control : new int[] {firstControl, fixture.controlPort}) {
            int other = firstControl + fixture.controlPort - control;
            assertThat(ServeFixture.request(control, "POST /control/out-of-service HTTP/1.1")).startsWith("HTTP/1.1 200");
            awaitReady(other, false);
            assertTakesClients(false);
            assertThat(ServeFixture.request(other, "POST /control/in-service HTTP/1.1")).startsWith("HTTP/1.1 200");
            awaitReady(control, true);
            assertTakesClients(true);
        }
    }

    /** Guards against a new version that ends without taking over, and with it the drain of the old one. */
    @Test
    void newProcessThatEndsLeavesTheOldOneOutOfService() throws Exception {
        startListening();
        int firstControl = fixture.controlPort;
        call("out-of-service", 200);
        startSecond();
        second.destroy(); // SIGTERM
        assertThat(second.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        fixture.awaitLog(folder, "alone on this address");
        fixture.controlPort = firstControl;
        assertTakesClients(false);
    }

    /** Guards against a process that starts alone, and is out of service by a call to one that has ended. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "KILL"})
    void processThatStartsAloneIsInService(String signal) throws Exception {
        startListening();
        call("out-of-service", 200);
        fixture.signal(signal);
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        startSecond();
        assertTakesClients(true);
    }

    /** Guards against a yes that the other process cannot be told of; a process that is alone needs no file. */
    @Test
    void callThatCannotBeToldToTheOtherProcessIsRefused() throws Exception {
        startListening();
        Path inTheWay = folder.resolve(AddressLocks.VERSION).resolve("127.0.0.1-" + fixture.port + "-service");
        Files.createDirectories(inTheWay.resolve("in-the-way"));
        call("out-of-service", 200);
        call("in-service", 200);
        int firstControl = fixture.controlPort;
        startSecond();
        call("out-of-service", 503);
        assertTakesClients(true);
        Files.delete(inTheWay.resolve("in-the-way"));
        Files.delete(inTheWay);
        call("out-of-service", 200);
        awaitReady(firstControl, false);
        assertTakesClients(false);
    }

    /** Guards against new settings that are dropped in some phase, or that change whether clients are taken. */
    @ParameterizedTest
    @CsvSource({"STARTING, false", "STARTING, true", "WAITING_FOR_LIST, false", "WAITING_FOR_LIST, true", "LISTENING, false", "LISTENING, true"})
    void hangUpIsCarriedOutAndKeepsTheState(At phase, boolean out) throws Exception {
        startWaitingForList();
        phase.await(this);
        if (out) {
            call("out-of-service", 200);
        }
        renameReadGrade();
        awaitListening();
        assertTakesClients(!out);
        call("in-service", 200);
        client = fixture.client();
        client.send("C.GET", "00000000000000aa", "id", "c=fresh,d=9000");
        fixture.cache.next().answer(ServeFixture.hit("value"));
        assertThat(client.answer()).isEqualTo("value");
    }

    /** Replaces the grade "read" by "fresh" in the configuration, sends SIGHUP and waits until the file is counted as taken. */
    private void renameReadGrade() throws Exception {
        fixture.grades = fixture.grades.replace("\"read\"", "\"fresh\"");
        fixture.config(folder, "");
        fixture.sendHangUp();
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_config_reloads_total 1\n");
    }

    /** Guards against new settings that revive an ending process. */
    @Test
    void hangUpIsCarriedOutByAnEndingProcess() throws Exception {
        startWithOpenQuery();
        fixture.program.destroy(); // SIGTERM
        fixture.awaitLog(folder, "told to end");
        renameReadGrade();
        assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 503");
        client.send("PING");
        client.send("C.GET", "00000000000000aa", "id2", "c=fresh,d=9000");
        openQuery.answer(ServeFixture.hit("value"));
        assertThat(client.answer()).isEqualTo("value");
        assertThat(client.answer()).startsWith("-ERR");
        fixture.cache.next().answer(ServeFixture.hit("fresh value"));
        assertThat(client.answer()).isEqualTo("fresh value");
    }

    /** Guards against a yes that is told before it holds: the I/O thread, where calls take effect, is busy with floods. */
    @Test
    void callsHoldAtOnceBesideLoad() throws Exception {
        startListening();
        for (int i = 0; i < FLOODS; i++) {
            flood(fixture.client());
        }
        for (int i = 0; i < 40; i++) {
            call("out-of-service", 200);
            assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 503");
            assertThat(ping()).startsWith("-ERR");
            call("in-service", 200);
            assertThat(fixture.request("GET /control/ready")).startsWith("HTTP/1.1 200");
            assertThat(ping()).startsWith("+PONG");
        }
    }

    /** Sends commands as fast as they are answered, until the test is over. */
    private static void flood(ServeFixture.Client flooding) {
        byte[] commands = "*1\r\n$6\r\nSELECT\r\n".repeat(500).getBytes(StandardCharsets.US_ASCII);
        Thread sender = new Thread(() -> {
            try {
                while (true) {
                    flooding.socket.getOutputStream().write(commands);
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        Thread receiver = new Thread(() -> {
            try {
                while (flooding.bytes(1 << 16).length > 0) {
                    // only takes the answers
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        for (Thread thread : List.of(sender, receiver)) {
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Guards against SIGHUP that ends a process which still reads its configuration. */
    @Test
    void hangUpWhileTheConfigurationIsReadEndsNothing() throws Exception {
        fixture.port = ServeFixture.freePort();
        byte[] configuration = Files.readAllBytes(fixture.config(folder, ""));
        Path pipe = folder.resolve("pipe");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        fixture.program = fixture.launch(folder, pipe);
        try (OutputStream writer = Files.newOutputStream(pipe, StandardOpenOption.WRITE)) { // waits for the program to read
            fixture.sendHangUp();
            writer.write(configuration);
        }
        assertThat(fixture.client().socket.isConnected()).isTrue();
    }

    /** Guards against a check that takes the refusal of its own PING for a failed start. */
    @Test
    void checkPassesOutOfService() throws Exception {
        fixture.command = "serve --check";
        startWaitingForList();
        At.STARTING.await(this);
        call("out-of-service", 200);
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
    }
}
