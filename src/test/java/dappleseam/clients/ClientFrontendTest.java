package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.wire.BufferChain;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

class ClientFrontendTest {
    private static final String QUERY = "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n";

    private interface Scenario {
        Object run(ManualIoLoop loop, ClientFrontend frontend, StreamConnection client) throws IOException;
    }

    /** Runs the scenario on the I/O thread, with one client that has already written {@code written}. */
    private static Object runScenario(String written, int queryConnections, Scenario scenario) throws Exception {
        return IoThreadRunner.run((worker, result) -> {
            ManualIoLoop loop = new ManualIoLoop();
            ClientFrontend frontend = new ClientFrontend(loop, loop, 100, queryConnections, loop.closes, () -> true);
            ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
            write(pipe.getRightSide(), written);
            frontend.addClient(pipe.getLeftSide());
            result.complete(scenario.run(loop, frontend, pipe.getRightSide()));
        });
    }

    private static void write(StreamConnection client, String text) throws IOException {
        client.getSinkChannel().write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    /** Guards against a client whose handling fails and that keeps its place: an error in the router's part ends that connection only. */
    @ParameterizedTest
    @ValueSource(strings = {"submit", "clientTimeoutMs", "clientLeft", "reject"})
    void errorInTheHandlerFreesTheClientsPlace(String failing) throws Exception {
        String value = "$100000\r\n"; // more than the buffers grant, so that its client's time is asked for
        String sent = failing.equals("clientTimeoutMs") ? "*5\r\n$5\r\nC.SET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n" + value
                : failing.equals("reject") ? QUERY + "nonsense" : QUERY;
        boolean hasClients = IoThreadRunner.run((worker, result) -> {
            ManualIoLoop loop = new ManualIoLoop();
            QueryHandler handler = (QueryHandler) Proxy.newProxyInstance(QueryHandler.class.getClassLoader(), new Class<?>[] {QueryHandler.class}, (proxy, method, args) -> {
                if (method.getName().equals(failing)) {
                    throw new StackOverflowError("planted");
                }
                return method.invoke(loop, args);
            });
            ClientFrontend frontend = new ClientFrontend(loop, handler, 100, 100, loop.closes, () -> true);
            List<StreamConnection> clients = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                write(pipe.getRightSide(), sent);
                frontend.addClient(pipe.getLeftSide());
                clients.add(pipe.getRightSide());
            }
            loop.advanceTo(loop.now + 100);
            clients.forEach(IoUtils::safeClose);
            loop.advanceTo(loop.now + 6000); // a close is seen by the check for silence at the latest
            result.complete(frontend.hasClients());
        });
        assertThat(hasClients).isFalse();
    }

    /** On shutdown, queries read after the last abort would never be answered, so they must not be read. */
    @Test
    void noQueryIsSubmittedOnceReadingHasStopped() throws Exception {
        String half = QUERY.substring(0, 10);
        assertThat(runScenario(QUERY + half, 10, (loop, frontend, client) -> {
            frontend.stopReading();
            write(client, QUERY.substring(10) + QUERY);
            frontend.closeIdle();
            loop.replies.get(0).replyLine("-ERR");
            frontend.closeIdle();
            return List.of(loop.replies.size(), frontend.hasClients());
        })).isEqualTo(List.of(1, false));
        assertThat(runScenario(half, 10, (loop, frontend, client) -> {
            frontend.stopReading();
            return List.of(loop.replies.size(), frontend.hasClients());
        })).isEqualTo(List.of(0, false));
        assertThat(runScenario("", 10, (loop, frontend, client) -> {
            write(client, QUERY);
            frontend.stopReading(); // still reads what has arrived until now
            return List.of(loop.replies.size(), frontend.hasClients());
        })).isEqualTo(List.of(1, true));
    }

    /** A busy proxy must not close connections of active clients, which it would have to accept again at once. */
    @Test
    void aClientThatWasJustAnsweredIsNotEvicted() throws Exception {
        List<Object> kept = new ArrayList<>();
        for (double until : new double[] {1200, 1800}) {
            kept.add(runScenario(QUERY, 1, (loop, frontend, client) -> { // the limit leaves no room for idle clients
                loop.replies.get(0).replyLine("+OK");
                loop.advanceTo(until);
                return frontend.hasClients();
            }));
        }
        assertThat(kept).containsExactly(true, false);
    }

    /** A client that sends a query and closes must not cause an execution: a close directly behind a query is seen before it is submitted. */
    @Test
    void aQueryDirectlyFollowedByACloseIsNotSubmitted() throws Exception {
        assertThat(runScenario("", 10, (loop, frontend, client) -> {
            write(client, QUERY);
            IoUtils.safeClose(client);
            frontend.closeIdle(); // reads what has arrived
            return List.of(loop.replies.size(), frontend.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** The same if more input has arrived than one read pass handles: nothing is submitted before the close could be seen. */
    @Test
    void aQueryIsNotSubmittedIfTheCloseFollowsMoreThanOneReadPass() throws Exception {
        String longNames = QUERY.replace("$1\r\na\r\n", "$120\r\n" + "a".repeat(120) + "\r\n");
        assertThat(runScenario("", 10, (loop, frontend, client) -> {
            write(client, longNames.repeat(100)); // fewer than pause the connection
            IoUtils.safeClose(client);
            int taken = 0;
            for (int i = 0; i < 10; i++) {
                frontend.closeIdle(); // reads what has arrived
                taken = Math.max(taken, loop.replies.size());
            }
            return List.of(taken, frontend.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** The same behind more input than is read ahead of a paused client: queries whose client may have closed are rejected. */
    @Test
    void noQueryIsSubmittedIfTheCloseFollowsMoreThanTheReadAheadBuffer() throws Exception {
        assertThat(runScenario("", 10, (loop, frontend, client) -> {
            write(client, QUERY.repeat(900));
            IoUtils.safeClose(client);
            for (int i = 0; i < 100; i++) {
                frontend.closeIdle();
                loop.advanceTo(loop.now + 25);
            }
            return List.of(loop.replies.size(), frontend.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** A client that sends a query, then a malformed command, then endless input must still get both replies in time. */
    @Test
    void anErrorReplyIsNotDelayedByEndlessInput() throws Exception {
        assertThat(runScenario("", 10, (loop, frontend, client) -> {
            write(client, QUERY + "noise\r\n");
            for (int i = 0; i < 400 && frontend.hasClients(); i++) {
                write(client, "x".repeat(20_000)); // more than the passes of one turn handle
                frontend.closeIdle();
                loop.advanceTo(loop.now + 1);
            }
            return List.of(loop.replies.size() + loop.rejected, frontend.hasClients());
        })).isEqualTo(List.of(1, false));
    }

    /** A client that sent more than is accepted at once and then closed is known to be gone, although not all of its input is read. */
    @Test
    void backpressureDoesNotHideAClose() throws Exception {
        assertThat(runScenario(QUERY.repeat(200), 10, (loop, frontend, client) -> {
            int taken = loop.replies.size();
            boolean before = loop.replies.get(0).isClientConnected();
            IoUtils.safeClose(client);
            boolean after = loop.replies.get(0).isClientConnected();
            return List.of(taken < 200, before, after, loop.replies.size() == taken, loop.disconnected == taken);
        })).isEqualTo(List.of(true, true, false, true, true));
    }

    /**
     * While more input waits than is read ahead, the client may have closed: nothing is submitted meanwhile. Each query sent still gets one
     * reply, and queries that arrive once everything is read are submitted as usual.
     */
    @Test
    void aClientWithUnreadInputIsNotAssumedConnected() throws Exception {
        assertThat(runScenario(QUERY.repeat(10), 10, (loop, frontend, client) -> {
            write(client, QUERY.repeat(900));
            frontend.closeIdle(); // reads as much as fits
            boolean here = loop.replies.get(0).isClientConnected();
            int taken = loop.replies.size();
            int all = replyUntil(loop, frontend, 910);
            write(client, QUERY);
            int more = replyUntil(loop, frontend, 911);
            return List.of(here, taken, all, more, loop.replies.get(loop.replies.size() - 1).isClientConnected());
        })).isEqualTo(List.of(false, 10, 910, 911, true));
    }

    /** Replies to submitted queries and lets more be read, until {@code count} queries were submitted or rejected; the last ones stay unanswered. */
    private static int replyUntil(ManualIoLoop loop, ClientFrontend frontend, int count) {
        for (int i = 0; i < 1000 && loop.replies.size() + loop.rejected < count; i++) {
            List.copyOf(loop.replies).forEach(owed -> owed.replyLine("+OK"));
            loop.advanceTo(loop.now + 25);
            if (loop.replies.size() + loop.rejected < count) {
                frontend.closeIdle(); // reads as much as fits; the client has commands on their way, so it is not closed
            }
        }
        return loop.replies.size() + loop.rejected;
    }

    /** Guards against a timer leak: each pause of a client used to leave one more periodic check behind for good. */
    @Test
    void repeatedPausesScheduleOneTimer() throws Exception {
        assertThat(runScenario(QUERY.repeat(128), 10, (loop, frontend, client) -> {
            int before = loop.scheduled.size();
            for (int i = 0; i < 100; i++) {
                loop.replies.get(i).replyLine("+OK");
                write(client, QUERY);
                frontend.closeIdle(); // reads it
                loop.runDue(); // the turn ends
            }
            return List.of(loop.replies.size(), loop.scheduled.size() - before);
        })).isEqualTo(List.of(228, 0));
    }

    /** Commands that were read ahead are due a reply, so a connection with nothing else pending is not idle. */
    @Test
    void aConnectionWithUndeliveredCommandsIsNotClosedAsIdle() throws Exception {
        assertThat(runScenario("", 10, (loop, frontend, client) -> {
            List<BufferChain> taken = new ArrayList<>();
            for (int i = 0; i < 40; i++) { // most buffers are in use elsewhere
                taken.add(new BufferChain(loop.pool));
                taken.get(i).put("x");
            }
            write(client, QUERY);
            frontend.closeIdle(); // reads the first, then pauses
            write(client, QUERY);
            loop.replies.get(0).replyLine("+OK");
            frontend.closeIdle(); // reads the second ahead
            frontend.closeIdle();
            boolean open = frontend.hasClients();
            taken.forEach(BufferChain::release);
            loop.advanceTo(1100);
            return List.of(open, loop.replies.size());
        })).isEqualTo(List.of(true, 2));
    }
}
