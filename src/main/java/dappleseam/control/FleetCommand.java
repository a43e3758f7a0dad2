package dappleseam.control;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.wire.Address;
import dappleseam.wire.Json;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Shows one proxy's view of its fleet, read from its control address. */
@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Show what a proxy knows of its fleet; exit status 1 if it cannot be read.")
public final class FleetCommand implements Callable<Integer> {
    private static final int TIMEOUT_MS = 2000;
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    @Parameters(paramLabel = "CONTROL", description = "The proxy's control address.")
    private String control;

    @Option(names = "--json", description = "Print the JSON as the proxy sends it.")
    private boolean json;

    @Option(names = "--ended", paramLabel = "NAME", description = "Tell the proxy that this failed member will not come back.")
    private String ended;

    @Override
    public Integer call() {
        try {
            InetSocketAddress address = Address.parse(control);
            String body = ended == null ? send(address, "GET /control/fleet") : send(address, "POST /control/fleet/ended/" + ended);
            System.out.print(json || ended != null ? body : render(Json.read(body.getBytes(StandardCharsets.UTF_8))));
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("dappleseam fleet: " + control + ": " + e.getMessage());
            return 1;
        }
    }

    /** Sends a request and returns the body; throws on any status other than 200. */
    private static String send(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((request + " HTTP/1.1\r\nHost: door\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String response = new String(in.readNBytes(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
            int end = response.indexOf("\r\n\r\n");
            if (end < 0) {
                throw new IOException("not a control address");
            }
            if (!response.startsWith("HTTP/1.1 200 ")) {
                throw new IOException("answered: " + response.substring(end + 4).strip() + (response.startsWith("HTTP/1.1 404 ") ? ": the proxy is in no fleet" : ""));
            }
            return response.substring(end + 4);
        }
    }

    private static String render(JsonNode view) {
        if (!view.path("joined").asBoolean()) {
            return "waits for its address, which another process has\n";
        }
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%s: status %s for %d s, fleet size %d, health score %d%n", view.path("name").asText(),
                view.path("standing").asText(), view.path("standing_for_s").asLong(), view.path("counted").asInt(), view.path("own_health").asInt()));
        if (view.has("twin_at")) {
            text.append("another process uses this name, at ").append(view.path("twin_at").asText()).append('\n');
        }
        view.path("leases").forEach(lease -> text.append(String.format(Locale.ROOT, "holds %s with token %s for %d s%n", lease.path("lease").asText(),
                lease.path("token").asText(), lease.path("held_for_s").asLong())));
        view.path("words").forEach(verdict -> text.append(String.format(Locale.ROOT, "other members report that %s %s: %d say it fails, %d say it works%n", verdict.path("node").asText(),
                verdict.path("word").asText().equals("works") ? "works" : "fails", verdict.path("fails").asInt(), verdict.path("works").asInt())));
        view.path("members").forEach(member -> text.append(String.format(Locale.ROOT, "%-8s %-48s %s%n", member.path("state").asText(),
                member.path("name").asText(), member.path("address").asText())));
        return text.toString();
    }
}
