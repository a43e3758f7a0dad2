import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Case 10: a proxy is drained as soon as its second address answers, before it is ready. */
final class EarlyDrain {
    private static final double LIMIT_MS = 4000;

    public static void main(String[] args) {
        Kit.run(args, trouble -> {
            List<Kit.Cache> caches = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                caches.add(new Kit.Cache("cache-" + i));
                caches.get(i).workMs = 20;
            }
            Kit.ProxyProcess proxy = Kit.litoral(caches, 1024);
            proxy.start();
            if (!trouble) { // the same call, once the proxy is ready
                proxy.awaitReady();
            }
            int status = 0;
            for (double until = Kit.now() + 30_000; status == 0 && Kit.now() < until; Kit.sleep(1)) {
                try {
                    status = proxy.call("POST", "/control/out-of-service");
                } catch (IOException e) {
                    // not there yet
                }
            }
            double calledAt = Kit.now();
            if (status / 100 != 2) {
                Kit.say("the call was not answered with yes, but " + status + ": nothing was promised");
                return false;
            }
            Kit.sleep(LIMIT_MS + 300);
            String answer = "nobody listens";
            try (Socket socket = proxy.connect()) {
                socket.setSoTimeout(3000);
                socket.getOutputStream().write(Kit.command("PING"));
                answer = String.valueOf(Kit.resp(socket.getInputStream()));
            } catch (IOException e) {
                Kit.note("front", "PING: " + e);
            }
            Kit.say("PING " + Math.round(Kit.now() - calledAt) + " ms after the call: " + answer);
            return answer.equals("+PONG");
        });
    }
}
