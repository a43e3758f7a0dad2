package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

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

    @TempDir
    Path folder;
    private ServeFixture fixture;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        fixture.controlPort = ServeFixture.freePort();
        fixture.list.firstAnswer = null; // the start waits for the list
    }

    @AfterEach
    void end() throws Exception {
        fixture.close();
    }

    private void awaitListening() throws Exception {
        fixture.awaitLog(folder, "serves on");
    }

    private void call(String name, int status) throws Exception {
        assertThat(fixture.request("POST /control/" + name)).startsWith("HTTP/1.1 " + status);
    }

    private String ping() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", fixture.port)) {
            ServeFixture.Client client = new ServeFixture.Client(socket);
            client.send("PING");
            return client.answer();
        }
    }

    private void assertTakesClients(boolean expected) throws Exception {
        assertThat(fixture.request("GET /control/ready")).startsWith(expected ? "HTTP/1.1 200" : "HTTP/1.1 503");
        assertThat(ping()).startsWith(expected ? "+PONG" : "-ERR");
    }

    /** Guards against a call out of service that is answered with yes and forgotten by a process that does not listen yet. */
    @ParameterizedTest
    @EnumSource
    void outOfServiceHoldsUntilInService(At phase) throws Exception {
        fixture.start(folder, "");
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
        fixture.start(folder, "");
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

    /** Guards against a check that takes the refusal of its own PING for a failed start. */
    @Test
    void checkPassesOutOfService() throws Exception {
        fixture.command = "serve --check";
        fixture.start(folder, "");
        At.STARTING.await(this);
        call("out-of-service", 200);
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isZero();
    }
}
