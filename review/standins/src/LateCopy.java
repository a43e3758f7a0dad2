import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients read one key after the other, others write. Now and then a cache, and later once the origin, answers a second time, some milliseconds
 * late, while nothing else waits on the connection. Every value that a client gets has to be that of the key it asked for, and every receipt
 * that of its own write.
 */
final class LateCopy {
    /** Time between a cache's answer and its copy, ms: "some milliseconds late". */
    private static final double LATE_MS = 2;
    /** One way between the proxy and the caches, ms: the site's locations are 2.6 to 4.8 ms apart. */
    private static final double ONE_WAY_MS = 3;
    /** Time between two copies, over all caches, ms: longer than the program remembers a spoilt answer. */
    private static final double EVERY_MS = 11_000;
    private static final double LENGTH_MS = 80_000;
    /** From when the origin makes the copies, and the caches none, ms. */
    private static final double ORIGIN_FROM_MS = 62_000;
    private static final double ORIGIN_MS = 110;
    private static final int READERS = 3;
    private static final int WRITERS = 3;
    private static final int KEYS = 40;

    private static double nextCopyAt = 4000;

    public static void main(String[] args) throws Exception {
        Stand.run(Path.of(args[0]), LateCopy::play);
    }

    private static synchronized boolean isCopyDue(boolean atOrigin) {
        if (!Stand.TROUBLE || Stand.nowMs() < nextCopyAt || atOrigin != Stand.nowMs() >= ORIGIN_FROM_MS) {
            return false;
        }
        nextCopyAt = Stand.nowMs() + EVERY_MS;
        return true;
    }

    private static final class Copying extends Stand.Cache {
        Copying(String uid) throws Exception {
            super(uid);
        }

        @Override
        void noteRead(Stand.Asked asked) {
            // noted with its answer
        }

        @Override
        void noteAnswer(Stand.Asked asked, String text) {
            Stand.brief(uid + " " + asked.verb + " " + Stand.digits(asked.key) + " " + Stand.digits(asked.id));
        }

        @Override
        void answer(Socket socket, InputStream in, OutputStream out, Stand.Asked asked, LinkedBlockingQueue<Stand.Asked> waiting) throws Exception {
            super.answer(socket, in, out, asked, waiting);
            if (waiting.isEmpty() && socket.getInputStream().available() == 0 && isCopyDue(false)) {
                Stand.Asked next = waiting.poll((long) LATE_MS, MILLISECONDS);
                if (next == null && socket.getInputStream().available() == 0) { // nothing else waits on the connection
                    out.write(Stand.cacheAnswer(value(asked.key)));
                    Stand.record("%s answers id %s a second time, nothing else waits", uid, asked.id);
                } else {
                    Stand.record("%s: no second answer, as a command has come", uid);
                    nextCopyAt = Stand.nowMs();
                    if (next != null) {
                        super.answer(socket, in, out, next, waiting);
                    }
                }
            }
        }
    }

    private static final class CopyingOrigin extends Stand.Origin {
        CopyingOrigin() throws Exception {
            super();
        }

        @Override
        void noteRead(String method, String key, String id, int length) {
            Stand.brief("origin " + method + " " + Stand.digits(key) + " " + Stand.digits(id));
        }

        @Override
        void noteAnswer(String id, String body) {
            // with its own receipt, ORIGIN_MS after it was read
        }

        @Override
        double workMs(String method, String key) {
            return ORIGIN_MS;
        }

        @Override
        void answered(String id, byte[] answer, Socket socket, OutputStream out) throws java.io.IOException {
            if (isCopyDue(true)) {
                Stand.sleep(LATE_MS);
                if (socket.getInputStream().available() == 0) { // nothing else waits on the connection
                    out.write(answer);
                    Stand.record("origin answers id %s a second time, nothing else waits", id);
                } else {
                    nextCopyAt = Stand.nowMs();
                }
            }
        }
    }

    private static String play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Stand.Cache cache = new Copying("cache-" + i);
            Stand.Way way = new Stand.Way("way-" + i, cache.port(), ONE_WAY_MS);
            entries.add(cache.entry(i == 0 ? "economico" : "estandar", way.port(), Stand.ZONES[i]));
        }
        Stand.Way originWay = new Stand.Way("way-origin", new CopyingOrigin().port(), ONE_WAY_MS);
        entries.add(originWay.entry("origin-0", "origin", originWay.port(), Stand.ZONES[0]));
        Stand.Program program = new Stand.Program(new Stand.Discovery(entries), Stand.litoral());
        Stand.record("short lines: \"MS cache-N COMMAND KEY ID\" is a command that this cache has run and answered with its key's value;");
        Stand.record("\"MS origin METHOD KEY ID\" is a request that the origin has read, and answers %.0f ms later with its own receipt;", ORIGIN_MS);
        Stand.record("\"MS client N ID own\" is an answer that is the client's own, \"MS client N ID -...\" an error or a refusal");
        List<String> wrongValues = new ArrayList<>();
        List<String> wrongReceipts = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger ids = new AtomicInteger();
        double until = Stand.nowMs() + LENGTH_MS;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < READERS + WRITERS; c++) {
            int number = c;
            boolean writes = c >= READERS;
            List<String> wrong = writes ? wrongReceipts : wrongValues;
            clients.add(Stand.go("client " + c, () -> {
                Stand.Client client = new Stand.Client("client " + number, program.port);
                for (int i = 0; Stand.nowMs() < until; i++) {
                    String key = String.format("%016x", 1 + (number * 17L + i * 7L) % KEYS);
                    String id = String.format("%016x", ids.incrementAndGet());
                    client.write(writes ? Stand.command("C.SET", key, id, "c=transferencia,d=3000,k=" + id, "amount=1")
                            : Stand.command("C.GET", key, id, "c=consulta,d=4000"));
                    String answer = client.read().get(0);
                    if (answer == null || answer.startsWith("-")) {
                        Stand.brief("client " + number + " " + Stand.digits(id) + " " + (answer == null ? "-null" : answer));
                    } else {
                        served.incrementAndGet();
                        if (!answer.equals(writes ? "receipt-of-" + id : Stand.valueOf(key))) {
                            String text = "client " + number + (writes ? " wrote " : " asked for ") + key + " (id " + id + ") and was served with " + answer;
                            Stand.record("WRONG: %s", text);
                            synchronized (wrong) {
                                wrong.add(text);
                            }
                        } else {
                            Stand.brief("client " + number + " " + Stand.digits(id) + " own");
                        }
                    }
                }
                client.close();
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Stand.record("%d answers with a value or a receipt", served.get());
        if (served.get() < 1000) {
            throw new IllegalStateException("only " + served.get() + " answers with a value");
        }
        return wrongValues.isEmpty() && wrongReceipts.isEmpty() ? "" : wrongValues.size() + " foreign values and " + wrongReceipts.size()
                + " foreign receipts among " + served.get() + " answers, such as: " + (wrongReceipts.isEmpty() ? wrongValues : wrongReceipts).get(0);
    }
}
