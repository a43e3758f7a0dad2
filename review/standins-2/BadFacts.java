import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Case 6: clients whose list of names and values can't be read; then usual clients with new connections. */
final class BadFacts {
    private static final int BAD_CLIENTS = 120;
    private static final int USUAL_QUERIES = 10;
    private static final long WAIT_MS = 4000;
    /** Half a second after its time a request is lost; and the slack of 50 ms. */
    private static final int ALLOWED_MS = 550;

    public static void main(String[] args) {
        Kit.run(args, trouble -> {
            List<Kit.Cache> caches = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                caches.add(new Kit.Cache("cache-" + i));
                caches.get(i).workMs = 20;
            }
            Kit.ProxyProcess proxy = Kit.litoral(caches, 256);
            proxy.start();
            proxy.awaitReady();
            ask(proxy, "before");

            List<Socket> bad = new ArrayList<>();
            int[] ended = new int[1];
            String facts = "x" + ",x".repeat(511);
            for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
                Socket socket = proxy.connect();
                bad.add(socket);
                socket.getOutputStream().write(Kit.command("C.GET", Kit.key(i), "bad-" + i, facts));
                Kit.go("bad-" + i, () -> {
                    String how;
                    try {
                        how = socket.getInputStream().read() < 0 ? "a close" : "an answer";
                    } catch (IOException e) {
                        how = "a reset";
                    }
                    synchronized (ended) {
                        ended[0]++;
                    }
                    Kit.note("bad", "got " + how);
                    socket.close(); // turned away: it leaves
                });
                Kit.sleep(5);
            }
            Kit.note("bad", bad.size() + " clients have sent a command of which the list of names and values can't be read");
            Kit.sleep(4000); // within 3 s of connecting each is owed an error or a close
            synchronized (ended) {
                Kit.say("bad clients with an error or a close: " + ended[0] + " of " + bad.size());
            }
            int[] lost = new int[1];
            List<Thread> usual = new ArrayList<>();
            for (int i = 0; i < USUAL_QUERIES; i++) {
                String id = "usual-" + i;
                usual.add(Kit.go(id, () -> {
                    if (!ask(proxy, id)) {
                        synchronized (lost) {
                            lost[0]++;
                        }
                    }
                }));
                Kit.sleep(50);
            }
            for (Thread one : usual) {
                one.join();
            }
            Kit.say("requests of usual clients with no answer half a second after their time: " + lost[0] + " of " + USUAL_QUERIES);
            for (Socket socket : bad) {
                socket.close();
            }
            return lost[0] > 0;
        });
    }

    /** Sends a query on a new connection; false if it is lost. A connection that is closed or reset with the query unread does not lose it. */
    private static boolean ask(Kit.ProxyProcess proxy, String id) throws IOException {
        try (Socket socket = proxy.connect()) {
            socket.setSoTimeout((int) WAIT_MS + ALLOWED_MS);
            socket.getOutputStream().write(Kit.get(Kit.key(1), id, "consulta", WAIT_MS));
            Kit.note(id, "sent, on a new connection");
            Kit.note(id, "got " + Kit.brief(Kit.resp(socket.getInputStream())));
            return true;
        } catch (java.net.SocketTimeoutException e) {
            Kit.note(id, "got nothing");
            return false;
        } catch (IOException e) {
            Kit.note(id, "ended by " + e);
            return Kit.arrivedOf(id).isEmpty();
        }
    }
}
