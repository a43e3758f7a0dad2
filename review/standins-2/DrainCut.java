import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Case 9: the proxy is drained while a client, which has sent its next command already, receives a long value. */
final class DrainCut {
    private static final int LENGTH = 4 << 20;
    private static final int PIECES = 44;
    private static final double PIECE_MS = 50;
    /** The client takes so many ms for each KiB: the whole value in 6 s. */
    private static final double CLIENT_MS_PER_KIB = 1.5;
    private static final double NEXT_COMMAND_MS = 500;
    private static final long WAIT_MS = 4000;

    /** Gives a value of 4 MiB in 2.2 s. */
    private static final class SlowCache extends Kit.Cache {
        SlowCache(String name) throws IOException {
            super(name);
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
            }
            Kit.note(name, "has given the whole value");
        }
    }

    public static void main(String[] args) {
        Kit.run(args, trouble -> {
            List<Kit.Cache> caches = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                caches.add(new SlowCache("cache-" + i));
            }
            Kit.ProxyProcess proxy = Kit.litoral(caches, 1024);
            proxy.start();
            proxy.awaitReady();
            Socket socket = new Socket();
            socket.setReceiveBufferSize(64 << 10);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", proxy.port), 2000);
            socket.setSoTimeout(15_000);
            socket.getOutputStream().write(Kit.get(Kit.key(0), "long", "consulta", WAIT_MS));
            Kit.note("client", "sent long");
            InputStream in = socket.getInputStream();
            String head = Kit.line(in);
            Kit.note("client", "long: " + head);
            if (!head.equals("$" + LENGTH)) {
                throw new IOException("the value was not given: " + head);
            }
            double startedAt = Kit.now();
            if (trouble && proxy.call("POST", "/control/out-of-service") / 100 != 2) {
                throw new IOException("the drain was refused");
            }
            byte[] part = new byte[16 << 10];
            int total = LENGTH + 2;
            int got = 0;
            boolean isNextSent = false;
            try {
                while (got < total) {
                    int count = in.read(part, 0, Math.min(part.length, total - got));
                    if (count < 0) {
                        throw new IOException("closed");
                    }
                    got += count;
                    double dueAt = startedAt + got / 1024.0 * CLIENT_MS_PER_KIB;
                    Kit.sleep(Math.max(0, dueAt - Kit.now()));
                    if (!isNextSent && Kit.now() > startedAt + NEXT_COMMAND_MS) {
                        isNextSent = true;
                        socket.getOutputStream().write(Kit.get(Kit.key(1), "next", "consulta", WAIT_MS));
                        Kit.note("client", "sent next");
                    }
                }
            } catch (IOException e) {
                Kit.note("client", "long: " + e);
            }
            Kit.say("bytes that the client got of the long value: " + got + " of " + total + ", in " + Math.round(Kit.now() - startedAt) + " ms");
            try {
                Kit.note("client", "next: " + Kit.brief(got < total ? null : Kit.resp(in)));
            } catch (IOException e) {
                Kit.note("client", "next: " + e + " (unread: it is sent once more on a new connection)");
            }
            return got < total;
        });
    }
}
