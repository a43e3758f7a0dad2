package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.wire.Chain;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class ClientFrontTest {
    private static final String ASKED = "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n";

    private interface Part {
        Object play(ByHand loop, ClientFront front, StreamConnection client) throws IOException;
    }

    /** Runs the scenario on the I/O thread, with one client that has already written {@code written}. */
    private static Object played(String written, int mostAsking, Part part) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CompletableFuture<Object> found = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                ByHand loop = new ByHand();
                ClientFront front = new ClientFront(loop, loop, 100, mostAsking);
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                write(pipe.getRightSide(), written);
                front.opened(pipe.getLeftSide());
                found.complete(part.play(loop, front, pipe.getRightSide()));
            } catch (IOException | RuntimeException e) {
                found.completeExceptionally(e);
            }
        });
        try {
            return found.get();
        } finally {
            worker.shutdownNow();
        }
    }

    private static void write(StreamConnection client, String text) throws IOException {
        client.getSinkChannel().write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    /** On shutdown, queries read after the last abort would never be answered, so they must not be read. */
    @Test
    void afterTheLastLookNothingIsTaken() throws Exception {
        String half = ASKED.substring(0, 10);
        assertThat(played(ASKED + half, 10, (loop, front, client) -> {
            front.takeNoMore();
            write(client, ASKED.substring(10) + ASKED);
            front.closeIdle();
            loop.owed.get(0).line("-ERR");
            front.closeIdle();
            return List.of(loop.owed.size(), front.hasClients());
        })).isEqualTo(List.of(1, false));
        assertThat(played(half, 10, (loop, front, client) -> {
            front.takeNoMore();
            return List.of(loop.owed.size(), front.hasClients());
        })).isEqualTo(List.of(0, false));
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED);
            front.takeNoMore(); // still reads what has arrived until now
            return List.of(loop.owed.size(), front.hasClients());
        })).isEqualTo(List.of(1, true));
    }

    /** A busy proxy must not close connections of active clients, which it would have to accept again at once. */
    @Test
    void aClientThatHasJustBeenAnsweredDoesNotMakeWay() throws Exception {
        List<Object> kept = new ArrayList<>();
        for (double until : new double[] {1200, 1800}) {
            kept.add(played(ASKED, 1, (loop, front, client) -> { // the limit leaves no room for idle clients
                loop.owed.get(0).line("+OK");
                loop.pass(until);
                return front.hasClients();
            }));
        }
        assertThat(kept).containsExactly(true, false);
    }

    /** A client that sends a query and closes must not cause an execution: a close directly behind a query is seen before it is submitted. */
    @Test
    void aQueryIsNotTakenWhereTheClientsEndIsRightBehindIt() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED);
            IoUtils.safeClose(client);
            front.closeIdle(); // reads what has arrived
            return List.of(loop.owed.size(), front.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** The same if more input has arrived than one read pass handles: nothing is submitted before the close could be seen. */
    @Test
    void aQueryIsNotTakenWhereTheClientsEndIsBehindMoreThanIsReadAtOnce() throws Exception {
        String longNames = ASKED.replace("$1\r\na\r\n", "$120\r\n" + "a".repeat(120) + "\r\n");
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, longNames.repeat(100)); // fewer than pause the connection
            IoUtils.safeClose(client);
            int taken = 0;
            for (int i = 0; i < 10; i++) {
                front.closeIdle(); // reads what has arrived
                taken = Math.max(taken, loop.owed.size());
            }
            return List.of(taken, front.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** The same behind more input than is read ahead of a paused client: queries whose client may have closed are rejected. */
    @Test
    void noQueryIsTakenOfAClientThatHasClosedBehindMoreThanIsReadAhead() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED.repeat(900));
            IoUtils.safeClose(client);
            for (int i = 0; i < 100; i++) {
                front.closeIdle();
                loop.pass(loop.now + 25);
            }
            return List.of(loop.owed.size(), front.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** A client that sends a query, then a malformed command, then endless input must still get both replies in time. */
    @Test
    void anErrorIsNotHeldUpByWhatComesBehindItWithoutEnd() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED + "noise\r\n");
            for (int i = 0; i < 40 && front.hasClients(); i++) {
                write(client, "x".repeat(20_000)); // more than one read pass handles
                front.closeIdle();
                loop.pass(loop.now + 10);
            }
            return List.of(loop.owed.size() + loop.rejected, front.hasClients());
        })).isEqualTo(List.of(1, false));
    }

    /** A client that sent more than is accepted at once and then closed is known to be gone, although not all of its input is read. */
    @Test
    void backpressureDoesNotHideAClose() throws Exception {
        assertThat(played(ASKED.repeat(200), 10, (loop, front, client) -> {
            int taken = loop.owed.size();
            boolean before = loop.owed.get(0).isClientHere();
            IoUtils.safeClose(client);
            boolean after = loop.owed.get(0).isClientHere();
            return List.of(taken < 200, before, after, loop.owed.size() == taken, loop.left == taken);
        })).isEqualTo(List.of(true, true, false, true, true));
    }

    /**
     * While more input waits than is read ahead, the client may have closed: nothing is submitted meanwhile. Each query sent still gets one
     * reply, and queries that arrive once everything is read are submitted as usual.
     */
    @Test
    void aClientBehindMoreThanIsReadAheadIsNotKnownToBeThere() throws Exception {
        assertThat(played(ASKED.repeat(10), 10, (loop, front, client) -> {
            write(client, ASKED.repeat(900));
            front.closeIdle(); // reads as much as fits
            boolean here = loop.owed.get(0).isClientHere();
            int taken = loop.owed.size();
            int all = answered(loop, front, 910);
            write(client, ASKED);
            int more = answered(loop, front, 911);
            return List.of(here, taken, all, more, loop.owed.get(loop.owed.size() - 1).isClientHere());
        })).isEqualTo(List.of(false, 10, 910, 911, true));
    }

    /** Replies to submitted queries and lets more be read, until {@code count} queries were submitted or rejected; the last ones stay unanswered. */
    private static int answered(ByHand loop, ClientFront front, int count) {
        for (int i = 0; i < 1000 && loop.owed.size() + loop.rejected < count; i++) {
            List.copyOf(loop.owed).forEach(owed -> owed.line("+OK"));
            loop.pass(loop.now + 25);
            if (loop.owed.size() + loop.rejected < count) {
                front.closeIdle(); // reads as much as fits; the client has commands on their way, so it is not closed
            }
        }
        return loop.owed.size() + loop.rejected;
    }

    /** Guards against a timer leak: each pause of a client used to leave one more periodic check behind for good. */
    @Test
    void aClientThatIsFullAgainAndAgainIsLookedAtByOneDeadline() throws Exception {
        assertThat(played(ASKED.repeat(128), 10, (loop, front, client) -> {
            int before = loop.due.size();
            for (int i = 0; i < 100; i++) {
                loop.owed.get(i).line("+OK");
                write(client, ASKED);
                front.closeIdle(); // reads it
            }
            return List.of(loop.owed.size(), loop.due.size() - before);
        })).isEqualTo(List.of(228, 0));
    }

    /** Commands that were read ahead are due a reply, so a connection with nothing else pending is not idle. */
    @Test
    void aConnectionWithCommandsReadAheadIsNotClosedAsIdle() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            List<Chain> taken = new ArrayList<>();
            for (int i = 0; i < 40; i++) { // most buffers are in use elsewhere
                taken.add(new Chain(loop.pool));
                taken.get(i).put("x");
            }
            write(client, ASKED);
            front.closeIdle(); // reads the first, then pauses
            write(client, ASKED);
            loop.owed.get(0).line("+OK");
            front.closeIdle(); // reads the second ahead
            front.closeIdle();
            boolean open = front.hasClients();
            taken.forEach(Chain::release);
            loop.pass(1100);
            return List.of(open, loop.owed.size());
        })).isEqualTo(List.of(true, 2));
    }
}
