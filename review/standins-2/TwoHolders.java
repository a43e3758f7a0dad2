import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Case 7: a fleet of four with leases, of which the member that is no voter holds the one for the last list. The operators shorten lease_ms by the steps
 * of docs/fleet.md. Without the disruption they take the same steps and leave lease_ms as it is.
 */
final class TwoHolders {
    private static final String HELD = "app_fleet_lease_held{lease=\"last-list\"}";
    private static final int OLD_LEASE_MS = 15_000;
    private static final int NEW_LEASE_MS = 1000;
    /** A figure may be so old, as it is published every 250 ms; and a write on its way for so long, over loopback. */
    private static final double FIGURE_AGE_MS = 300;
    private static final double WRITE_MS = 50;

    /** The store of the last list: one object, replaced in one step with the look at token and number. */
    private static final class Store extends Kit.Server {
        private String token = "";
        private long round;
        private long nonce;
        private long number;
        private byte[] content;
        private double roundSince;
        /** Writes with an older token that came later than one on its way can. */
        int stale;

        Store() throws IOException {
            super("store");
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            String verb = Kit.line(in).split(" ")[0];
            Map<String, String> headers = Kit.headers(in);
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            synchronized (this) {
                if (verb.equals("PUT")) {
                    String[] parts = headers.get("fencing-token").split("\\.");
                    long newRound = Long.parseLong(parts[0]);
                    long newNonce = Long.parseUnsignedLong(parts[1], 16);
                    long newNumber = Long.parseLong(headers.get("write-number"));
                    boolean isLater = newRound != round ? newRound > round : newNonce != nonce ? newNonce > nonce : newNumber > number;
                    Kit.note(name, "PUT with token " + headers.get("fencing-token") + ": " + (isLater ? "taken" : "refused, as " + token + " has written"));
                    stale += newRound < round && Kit.now() > roundSince + WRITE_MS ? 1 : 0;
                    if (isLater) {
                        roundSince = newRound > round ? Kit.now() : roundSince;
                        token = headers.get("fencing-token");
                        round = newRound;
                        nonce = newNonce;
                        number = newNumber;
                        content = body;
                    }
                    out.write(Kit.bytes("HTTP/1.1 " + (isLater ? "204 No Content" : "409 Conflict") + "\r\nFencing-Token: " + token + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
                } else if (content == null) {
                    out.write(Kit.bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
                } else {
                    out.write(Kit.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + content.length + "\r\nConnection: close\r\n\r\n"));
                    out.write(content);
                }
            }
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket()) {
            return socket.getLocalPort();
        }
    }

    private static void writeFleetFile(Path file, int[] ports, int own, int number, int leaseMs, Store store) throws IOException {
        Files.writeString(file, "{\"fleet\":\"example\",\"bind\":\"127.0.0.1:" + ports[own] + "\",\"seeds\":[\"127.0.0.1:" + ports[0] + "\",\"127.0.0.1:" + ports[1] + "\"],\"counted\":"
                + ports.length + ",\"period_ms\":1000,\"leases\":{\"voters\":[\"n0\",\"n1\",\"n2\"],\"number\":" + number + ",\"lease_ms\":" + leaseMs
                + ",\"list_store\":\"http://" + store.endpoint() + "/list\"}}");
    }

    private static boolean holds(Kit.ProxyProcess proxy) {
        try {
            return proxy.figure(HELD) == 1;
        } catch (IOException e) {
            return false; // it is being restarted
        }
    }

    public static void main(String[] args) {
        Kit.run(args, trouble -> {
            Kit.Discovery discovery = new Kit.Discovery("discovery");
            for (int i = 0; i < 3; i++) {
                discovery.put(new Kit.Entry("s-" + i, new Kit.Cache("cache-" + i).endpoint(), "taoyuan-dc", "std-4c"));
            }
            Store store = new Store();
            String[] names = {"n0", "n1", "n2", "n7"};
            int[] ports = new int[names.length];
            List<Kit.ProxyProcess> proxies = new ArrayList<>();
            List<Path> files = new ArrayList<>();
            for (int i = 0; i < names.length; i++) {
                ports[i] = freeDatagramPort();
            }
            for (int i = 0; i < names.length; i++) {
                files.add(Kit.temporary().resolve("fleet-" + i + ".json"));
                writeFleetFile(files.get(i), ports, i, 1, OLD_LEASE_MS, store);
                Kit.ProxyProcess proxy = new Kit.ProxyProcess(Kit.temporary(), names[i], discovery.endpoint(), discovery.whole(), Kit.pallet(names.length), 192, 512);
                proxy.options = " --fleet " + files.get(i);
                proxies.add(proxy);
                proxy.start();
            }
            for (Kit.ProxyProcess proxy : proxies) {
                proxy.awaitReady();
            }
            Kit.ProxyProcess member = proxies.get(3);
            for (double until = Kit.now() + 3.5 * OLD_LEASE_MS; !holds(member); Kit.sleep(200)) {
                if (Kit.now() > until) {
                    for (Kit.ProxyProcess proxy : proxies) {
                        Kit.note(proxy.name, "holds: " + holds(proxy));
                    }
                    throw new IOException("the member that is no voter did not take the lease");
                }
            }
            Kit.note(member.name, "holds the lease");
            Kit.sleep(1000);

            for (int i = 0; i < names.length; i++) { // step 1: the new values and number + 1 in all files
                writeFleetFile(files.get(i), ports, i, 2, trouble ? NEW_LEASE_MS : OLD_LEASE_MS, store);
            }
            Kit.note("operators", "all files have number 2 and lease_ms " + (trouble ? NEW_LEASE_MS : OLD_LEASE_MS));
            double[] bothSince = {Double.NaN};
            double[] longest = {0};
            Kit.go("watcher", () -> {
                while (true) {
                    boolean before = holds(member);
                    String other = "";
                    for (Kit.ProxyProcess proxy : proxies) {
                        other = proxy != member && holds(proxy) ? proxy.name : other;
                    }
                    boolean both = before && !other.isEmpty() && holds(member);
                    synchronized (longest) {
                        if (both && Double.isNaN(bothSince[0])) {
                            bothSince[0] = Kit.now();
                            Kit.note("watcher", member.name + " and " + other + " hold the lease");
                        } else if (!both && !Double.isNaN(bothSince[0])) {
                            Kit.note("watcher", "no longer");
                            bothSince[0] = Double.NaN;
                        }
                        longest[0] = Math.max(longest[0], both ? Kit.now() - bothSince[0] : 0);
                    }
                    Kit.sleep(100);
                }
            });
            for (int i = 0; i < 3; i++) { // step 2: all voters that stay, one after the other
                Kit.ProxyProcess voter = proxies.get(i);
                voter.signal("TERM");
                for (double until = Kit.now() + 3700; voter.process.isAlive() && Kit.now() < until; Kit.sleep(10)) {
                    // it ends by itself
                }
                voter.kill();
                voter.start();
                voter.awaitReady();
            }
            Kit.sleep(3000);
            discovery.state("s-0", "draining"); // the list changes: whoever holds the lease writes it
            Kit.sleep(OLD_LEASE_MS);
            synchronized (longest) {
                Kit.say("two processes held the lease for " + Math.round(longest[0]) + " ms; writes of the earlier holder after the later one had written: " + store.stale);
                return longest[0] > FIGURE_AGE_MS || store.stale > 0;
            }
        });
    }
}
