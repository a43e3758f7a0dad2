package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.wire.BufferChain;
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

class ClientFrontendTest {
    private static final String ASKED = "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n";

    private interface Part {
        Object play(ManualIoLoop loop, ClientFrontend front, StreamConnection client) throws IOException;
    }

    /** With one client, which has written that, on the thread that reads it. */
    private static Object played(String written, int mostAsking, Part part) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CompletableFuture<Object> found = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                ManualIoLoop loop = new ManualIoLoop();
                ClientFrontend front = new ClientFrontend(loop, loop, 100, mostAsking);
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                write(pipe.getRightSide(), written);
                front.addClient(pipe.getLeftSide());
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

    /** Guards the queries of the last moments: what is read after the last abort has nobody to answer it. */
    @Test
    void afterTheLastLookNothingIsTaken() throws Exception {
        String half = ASKED.substring(0, 10);
        assertThat(played(ASKED + half, 10, (loop, front, client) -> {
            front.stopReading();
            write(client, ASKED.substring(10) + ASKED);
            front.closeIdle();
            loop.replies.get(0).replyLine("-ERR");
            front.closeIdle();
            return List.of(loop.replies.size(), front.hasClients());
        })).isEqualTo(List.of(1, false));
        assertThat(played(half, 10, (loop, front, client) -> {
            front.stopReading();
            return List.of(loop.replies.size(), front.hasClients());
        })).isEqualTo(List.of(0, false));
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED);
            front.stopReading(); // what has come until now is
            return List.of(loop.replies.size(), front.hasClients());
        })).isEqualTo(List.of(1, true));
    }

    /** Guards a busy proxy against closing what it has to accept again at once. */
    @Test
    void aClientThatHasJustBeenAnsweredDoesNotMakeWay() throws Exception {
        List<Object> kept = new ArrayList<>();
        for (double until : new double[] {1200, 1800}) {
            kept.add(played(ASKED, 1, (loop, front, client) -> { // no room for any that is idle
                loop.replies.get(0).replyLine("+OK");
                loop.advanceTo(until);
                return front.hasClients();
            }));
        }
        assertThat(kept).containsExactly(true, false);
    }

    /** Guards nodes against clients that send and go: an end right behind a query is seen before it is handed on. */
    @Test
    void aQueryIsNotTakenWhereTheClientsEndIsRightBehindIt() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED);
            IoUtils.safeClose(client);
            front.closeIdle(); // it reads what has come
            return List.of(loop.replies.size(), front.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** The same where more has come than is read in one go: nothing is taken before the end could be seen. */
    @Test
    void aQueryIsNotTakenWhereTheClientsEndIsBehindMoreThanIsReadAtOnce() throws Exception {
        String longNames = ASKED.replace("$1\r\na\r\n", "$120\r\n" + "a".repeat(120) + "\r\n");
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, longNames.repeat(100)); // under the number from which it is held
            IoUtils.safeClose(client);
            int taken = 0;
            for (int i = 0; i < 10; i++) {
                front.closeIdle(); // reads what has come
                taken = Math.max(taken, loop.replies.size());
            }
            return List.of(taken, front.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** The same behind more than is read ahead of a client that is held: what cannot be known to have a client is turned away. */
    @Test
    void noQueryIsTakenOfAClientThatHasClosedBehindMoreThanIsReadAhead() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED.repeat(900));
            IoUtils.safeClose(client);
            for (int i = 0; i < 100; i++) {
                front.closeIdle();
                loop.advanceTo(loop.now + 25);
            }
            return List.of(loop.replies.size(), front.hasClients());
        })).isEqualTo(List.of(0, false));
    }

    /** A client that sends a query, what cannot be read, and more without end: both answers are owed in time. */
    @Test
    void anErrorIsNotHeldUpByWhatComesBehindItWithoutEnd() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            write(client, ASKED + "noise\r\n");
            for (int i = 0; i < 40 && front.hasClients(); i++) {
                write(client, "x".repeat(20_000)); // more than is read in one go
                front.closeIdle();
                loop.advanceTo(loop.now + 10);
            }
            return List.of(loop.replies.size() + loop.rejected, front.hasClients());
        })).isEqualTo(List.of(1, false));
    }

    /** Guards nodes: a client that sent more than is taken at once, and closed, has gone, though not all of it is read. */
    @Test
    void backpressureDoesNotHideAClose() throws Exception {
        assertThat(played(ASKED.repeat(200), 10, (loop, front, client) -> {
            int taken = loop.replies.size();
            boolean before = loop.replies.get(0).isClientConnected();
            IoUtils.safeClose(client);
            boolean after = loop.replies.get(0).isClientConnected();
            return List.of(taken < 200, before, after, loop.replies.size() == taken, loop.disconnected == taken);
        })).isEqualTo(List.of(true, true, false, true, true));
    }

    /**
     * Where more waits than is read ahead, whether the client is there is not known: nothing is taken meanwhile. All that was sent gets one
     * answer, and what comes once all is read is taken as ever.
     */
    @Test
    void aClientBehindMoreThanIsReadAheadIsNotKnownToBeThere() throws Exception {
        assertThat(played(ASKED.repeat(10), 10, (loop, front, client) -> {
            write(client, ASKED.repeat(900));
            front.closeIdle(); // reads what there is room for
            boolean here = loop.replies.get(0).isClientConnected();
            int taken = loop.replies.size();
            int all = answered(loop, front, 910);
            write(client, ASKED);
            int more = answered(loop, front, 911);
            return List.of(here, taken, all, more, loop.replies.get(loop.replies.size() - 1).isClientConnected());
        })).isEqualTo(List.of(false, 10, 910, 911, true));
    }

    /** Answers what is taken and lets more be read until so many queries have come, the last of them not answered yet. */
    private static int answered(ManualIoLoop loop, ClientFrontend front, int count) {
        for (int i = 0; i < 1000 && loop.replies.size() + loop.rejected < count; i++) {
            List.copyOf(loop.replies).forEach(owed -> owed.replyLine("+OK"));
            loop.advanceTo(loop.now + 25);
            if (loop.replies.size() + loop.rejected < count) {
                front.closeIdle(); // reads what there is room for; the client has commands on their way, and stays
            }
        }
        return loop.replies.size() + loop.rejected;
    }

    /** Guards the loop against a client that is full again and again: each time left one more look behind, for good. */
    @Test
    void aClientThatIsFullAgainAndAgainIsLookedAtByOneDeadline() throws Exception {
        assertThat(played(ASKED.repeat(128), 10, (loop, front, client) -> {
            int before = loop.scheduled.size();
            for (int i = 0; i < 100; i++) {
                loop.replies.get(i).replyLine("+OK");
                write(client, ASKED);
                front.closeIdle(); // reads it
            }
            return List.of(loop.replies.size(), loop.scheduled.size() - before);
        })).isEqualTo(List.of(228, 0));
    }

    /** What is read ahead of a client that owes nothing else is owed an answer: such a connection is not idle. */
    @Test
    void aConnectionWithCommandsReadAheadIsNotClosedAsIdle() throws Exception {
        assertThat(played("", 10, (loop, front, client) -> {
            List<BufferChain> taken = new ArrayList<>();
            for (int i = 0; i < 40; i++) { // most buffers are in use elsewhere
                taken.add(new BufferChain(loop.pool));
                taken.get(i).put("x");
            }
            write(client, ASKED);
            front.closeIdle(); // reads the first, is held
            write(client, ASKED);
            loop.replies.get(0).replyLine("+OK");
            front.closeIdle(); // reads the second ahead
            front.closeIdle();
            boolean open = front.hasClients();
            taken.forEach(BufferChain::release);
            loop.advanceTo(1100);
            return List.of(open, loop.replies.size());
        })).isEqualTo(List.of(true, 2));
    }
}
