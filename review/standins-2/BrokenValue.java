import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Case 8: a client sends several commands at once; the cache node of the first one gives a long value and dies in the middle of it. */
final class BrokenValue {
    private static final int LENGTH = 3 << 20;
    private static final int PIECES = 60;
    private static final double PIECE_MS = 50;
    private static final double DIES_AFTER_MS = 2200;
    private static final int COMMANDS = 9;
    private static final long WAIT_MS = 4000;

    /** Gives a value of 3 MiB in three seconds. */
    private static final class SlowCache extends Kit.Cache {
        final boolean dies;

        SlowCache(String name, boolean dies) throws IOException {
            super(name);
            this.dies = dies;
            workMs = 20;
        }

        @Override
        void answer(Socket socket, OutputStream out, String verb, String key, String id, String facts) throws IOException {
            if (!id.equals("long")) {
                super.answer(socket, out, verb, key, id, facts);
                return;
            }
            byte[] reply = Kit.reply(Kit.value(id, LENGTH));
            for (int i = 0; i < PIECES; i++) {
                int from = (int) ((long) reply.length * i / PIECES);
                out.write(reply, from, (int) ((long) reply.length * (i + 1) / PIECES) - from);
                Kit.sleep(PIECE_MS);
                if (dies && i * PIECE_MS >= DIES_AFTER_MS) {
                    Kit.note(name, "dies");
                    die();
                    return;
                }
            }
        }
    }

    public static void main(String[] args) {
        Kit.run(args, trouble -> {
            List<Kit.Cache> caches = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                caches.add(new SlowCache("cache-" + i, trouble));
            }
            Kit.ProxyProcess proxy = Kit.litoral(caches, 1024);
            proxy.start();
            proxy.awaitReady();
            Socket socket = proxy.connect();
            socket.setSoTimeout(15_000);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < COMMANDS; i++) {
                all.write(Kit.get(Kit.key(i), i == 0 ? "long" : "short-" + i, "consulta", WAIT_MS));
            }
            socket.getOutputStream().write(all.toByteArray());
            Kit.note("client", "has sent " + COMMANDS + " commands at once");
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int lost = 0;
            boolean open = true;
            for (int i = 0; i < COMMANDS; i++) {
                String id = i == 0 ? "long" : "short-" + i;
                try {
                    Object reply = open ? Kit.resp(in) : null;
                    Kit.note("client", id + (open ? " got " + Kit.brief(reply) : " got nothing: the connection has ended"));
                } catch (IOException e) {
                    open = false;
                    Kit.note("client", id + " got no whole answer: " + e);
                }
                // The value that was begun and broke off has failed, and is not lost. Of the others, count those that the proxy has read for certain.
                if (i > 0 && !open && !Kit.arrivedOf(id).isEmpty()) {
                    lost++;
                }
            }
            Kit.say("requests that the proxy read and forwarded, and whose connection it ended with no answer: " + lost);
            return lost > 0;
        });
    }
}
