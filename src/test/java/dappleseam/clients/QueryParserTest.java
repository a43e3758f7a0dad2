package dappleseam.clients;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.wire.BufferPool;
import dappleseam.wire.ParseStatus;
import dappleseam.wire.RespReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class QueryParserTest {
    /** The stack of the I/O thread in bytes, as deploy/serve.sh sets it. */
    private static final long STACK_BYTES = 256 << 10;
    private static final int MAX_FACTS_LENGTH = 1024;
    private static final String MALFORMED_FACTS = "-ERR malformed list of names and values";

    /** Returns the error line, or null for a query. */
    private static String error(String facts) {
        RespReader reader = new RespReader(new BufferPool(64), 1 << 20);
        String command = "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\n1\r\n$" + facts.length() + "\r\n" + facts + "\r\n";
        assertThat(reader.read(ByteBuffer.wrap(command.getBytes(StandardCharsets.ISO_8859_1)))).isEqualTo(ParseStatus.DONE);
        return QueryParser.parse(reader.takeMessage(), false).error();
    }

    /** Runs the steps on a thread with a stack as small as the I/O thread's. */
    private static void runOnSmallStack(Runnable steps) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread thread = new Thread(null, () -> {
            try {
                steps.run();
                done.complete(null);
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        }, "small stack", STACK_BYTES);
        thread.start();
        done.get();
    }

    /** Guards against a list whose reading takes stack for each entry: it overflowed, and the connection was left half handled. */
    @Test
    void listsOfAnyLengthAreRead() throws Exception {
        runOnSmallStack(() -> {
            for (int length = 1; length <= MAX_FACTS_LENGTH; length++) {
                assertThat(error("x,".repeat(length / 2) + "x".repeat(length % 2))).isEqualTo(length % 2 == 0 ? MALFORMED_FACTS : null);
                assertThat(error("x".repeat(length))).isNull();
                assertThat(error(",".repeat(length))).isEqualTo(MALFORMED_FACTS);
                assertThat(error("x,".repeat((length - 1) / 2) + ' ')).isEqualTo(MALFORMED_FACTS);
            }
            assertThat(error("x".repeat(MAX_FACTS_LENGTH + 1))).isEqualTo(MALFORMED_FACTS);
        });
    }

    /** Random lists are judged by the rule: entries of printable characters, a comma between any two. */
    @Test
    void listsAreJudgedByTheirSyntax() {
        Pattern entries = Pattern.compile("[!-+\\--~]+(,[!-+\\--~]+)*");
        SplittableRandom random = new SplittableRandom(6);
        String letters = "a=1,,,c~! \u007f\u0001\u00e9-+.";
        for (int round = 0; round < 20_000; round++) {
            StringBuilder facts = new StringBuilder();
            for (int i = random.nextInt(12); i > 0; i--) {
                facts.append(letters.charAt(random.nextInt(letters.length())));
            }
            assertThat(error(facts.toString())).as(facts.toString()).isEqualTo(entries.matcher(facts).matches() ? null : MALFORMED_FACTS);
        }
    }
}
