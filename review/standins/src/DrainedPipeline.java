import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client sends many commands at once on one connection, the first of which takes the origin a while. Then the operator takes the proxy out of
 * service. Each of the commands, all sent before that call, has to be answered.
 */
final class DrainedPipeline {
    private static final int READS = 220;
    private static final double ORIGIN_MS = 2200;
    private static final double CALL_AFTER_MS = 300;
    private static final int ROUNDS = 4;

    public static void main(String[] args) throws Exception {
        Stand.run(Path.of(args[0]), DrainedPipeline::play);
    }

    private static String play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Stand.Cache cache = new Stand.Cache("cache-" + i);
            entries.add(cache.entry(i == 0 ? "economico" : "estandar", cache.port(), Stand.ZONES[i]));
        }
        Stand.Origin origin = new Stand.Origin() {
            @Override
            double workMs(String method, String key) {
                return method.equals("PUT") ? ORIGIN_MS : 150;
            }
        };
        entries.add(origin.entry("origin", origin.port(), Stand.ZONES[0]));
        Stand.Program program = new Stand.Program(new Stand.Discovery(entries), Stand.litoral());
        List<String> broken = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Stand.Client client = new Stand.Client("client " + round, program.port);
            client.socket.setSoTimeout(8000);
            StringBuilder all = new StringBuilder();
            all.append(text(Stand.command("C.SET", "00000000000000aa", String.format("a%015x", round), "c=transferencia,d=3000,k=7a5b0000000000" + (10 + round), "amount=1")));
            for (int i = 0; i < READS; i++) {
                all.append(text(Stand.command("C.GET", String.format("%016x", 1 + i % 40), String.format("%08x%08x", round + 1, i), "c=consulta,d=4000")));
            }
            int half = all.indexOf("*4", 130 * 85);
            client.write(Stand.ascii(all.substring(0, half)));
            Stand.sleep(50);
            client.write(Stand.ascii(all.substring(half)));
            Stand.record("client %d has sent a write and %d reads, %d bytes", round, READS, all.length());
            Stand.sleep(CALL_AFTER_MS);
            if (Stand.TROUBLE && !program.call("POST", "/control/out-of-service").contains(" 200 ")) {
                throw new IllegalStateException("the call was not taken");
            }
            int answered = 0;
            String end = "";
            try {
                for (; answered < READS + 1; answered++) {
                    String answer = client.read().get(0);
                    Stand.record("client %d: answer %d is %s", round, answered, Stand.cut(answer));
                }
            } catch (java.io.IOException e) {
                end = e.getMessage();
            }
            Stand.record("client %d: %d of %d answered; %s", round, answered, READS + 1, end);
            if (answered < READS + 1) {
                broken.add("round " + round + ": " + (READS + 1 - answered) + " of " + (READS + 1) + " commands got no answer: " + end);
            }
            client.close();
            if (Stand.TROUBLE) {
                Stand.sleep(500);
                program.call("POST", "/control/in-service");
            }
            Stand.sleep(2500);
        }
        return String.join("\n", broken);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1);
    }
}
