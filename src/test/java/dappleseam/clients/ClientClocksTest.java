package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A client's connection that holds a place always has a clock or an event to end it: after any order of bytes, pauses, answers, errors and closes, a client
 * that does nothing more loses its place.
 */
class ClientClocksTest {
    private static final int CLIENTS = 5;
    private static final int STEPS = 40;
    /** Longer than any limit of a connection together: a stalled write, half a command, an idle client. */
    private static final double PATIENCE_MS = 60_000;
    private static final String[] INPUTS = {"*1\r\n$4\r\nPING\r\n", "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$3\r\nc=r\r\n",
        "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n", "*1\r\n$4\r\nQUIT\r\n", "nonsense\r\n", "*5\r\n$5\r\nC.SET\r\n$1\r\na\r\n$1\r\n2\r\n$3\r\nc=r\r\n$70000\r\nxx",
        "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$4\r\n,,,,\r\n", "*1\r\n$4\r\nPI", "x".repeat(3000)};

    /** One random run; on the I/O thread, with selects between the steps. */
    private static final class Run {
        private final XnioIoThread thread;
        private final CompletableFuture<Integer> clientsLeft;
        private final SplittableRandom random;
        private final ManualIoLoop loop = new ManualIoLoop();
        private final ClientFrontend frontend = new ClientFrontend(loop, loop, 100, 100, loop.closes, () -> true);
        private final List<StreamConnection> clients = new ArrayList<>();
        private int answered;
        /** The timer set as the so many-th is lost; 0 for none. */
        private final int lostTimer;

        Run(XnioIoThread thread, CompletableFuture<Integer> clientsLeft, int seed, int lostTimer) {
            this.thread = thread;
            this.clientsLeft = clientsLeft;
            this.lostTimer = lostTimer;
            random = new SplittableRandom(seed);
        }

        void begin() throws IOException {
            for (int i = 0; i < CLIENTS; i++) {
                ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
                frontend.addClient(pipe.getLeftSide());
                clients.add(pipe.getRightSide());
                if (i == 0 && lostTimer > 0) {
                    loop.scheduled.remove(lostTimer - 1);
                }
            }
            schedule(STEPS);
        }

        private void schedule(int stepsLeft) {
            thread.executeAfter(() -> {
                try {
                    if (stepsLeft == 0) {
                        end();
                    } else {
                        step();
                        schedule(stepsLeft - 1);
                    }
                } catch (IOException | RuntimeException | Error e) {
                    clientsLeft.completeExceptionally(e);
                }
            }, 1, TimeUnit.MILLISECONDS);
        }

        private void step() throws IOException {
            StreamConnection client = clients.get(random.nextInt(CLIENTS));
            switch (random.nextInt(10)) {
                case 0 -> answerOne("-BUSY 1");
                case 1, 2 -> answerOne("+OK");
                case 3 -> loop.advanceTo(loop.now + random.nextInt(1500));
                case 4 -> {
                    if (random.nextInt(4) == 0) {
                        IoUtils.safeClose(client);
                    }
                }
                case 5 -> client.getSourceChannel().read(ByteBuffer.allocate(1 << 16));
                default -> write(client, INPUTS[random.nextInt(INPUTS.length)]);
            }
        }

        private void answerOne(String line) {
            if (answered < loop.replies.size()) {
                loop.replies.get(answered++).replyLine(line);
            }
        }

        private static void write(StreamConnection client, String text) {
            try {
                client.getSinkChannel().write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
            } catch (IOException e) {
                return; // closed by the proxy
            }
        }

        private void end() {
            while (answered < loop.replies.size()) { // as the router does by each query's deadline
                answerOne("-ERR");
            }
            double until = loop.now + PATIENCE_MS;
            while (loop.now < until) { // input that the checks read now is answered, too
                loop.advanceTo(loop.now + 1000);
                while (answered < loop.replies.size()) {
                    answerOne("-ERR");
                }
            }
            clientsLeft.complete(frontend.hasClients() ? 1 : 0);
            clients.forEach(IoUtils::safeClose);
        }
    }

    private static int clientsLeft(int seed, int lostTimer) throws Exception {
        return IoThreadRunner.run((worker, result) -> new Run(worker.getIoThread(), result, seed, lostTimer).begin());
    }

    @Test
    void noClientKeepsItsPlaceForGood() throws Exception {
        for (int seed = 1; seed <= 60; seed++) {
            assertThat(clientsLeft(seed, 0)).as("seed " + seed).isZero();
        }
    }

    /** The property is able to fail: without the check for silence of one client, a silent one stays. */
    @Test
    void aMissingTimerIsFound() throws Exception {
        int found = 0;
        for (int seed = 1; seed <= 20; seed++) {
            found += clientsLeft(seed, 1);
        }
        assertThat(found).isPositive();
    }
}
