package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Makes system calls of a started program fail: builds the LD_PRELOAD library from src/test/c and writes its rules file. */
final class FailingCalls {
    /** The kinds of calls, in the order of the library's enum. */
    enum Call { ACCEPT, SOCKET, CONNECT, READ, WRITE, EPOLL_WAIT, FILE_OPEN, FILE_WRITE, FILE_SYNC, FILE_RENAME, EPOLL_CREATE, EVENTFD, PIPE }

    /** Linux error numbers, the same on x86 and ARM. {@code SHORT} is not an error: only one byte is read or written. */
    static final int SHORT = -1;
    static final int EINTR = 4;
    static final int EIO = 5;
    static final int EAGAIN = 11;
    static final int ENOMEM = 12;
    static final int ENFILE = 23;
    static final int EMFILE = 24;
    static final int ENOSPC = 28;
    static final int EPROTO = 71;
    static final int EADDRNOTAVAIL = 99;
    static final int ENETUNREACH = 101;
    static final int ECONNABORTED = 103;
    static final int ENOBUFS = 105;
    static final int ETIMEDOUT = 110;
    static final int EHOSTUNREACH = 113;

    /** A failure count without a limit. */
    static final int UNLIMITED = -1;
    private static final int INTS_PER_RULE = 5;
    private static final int RULE_BYTES = Integer.BYTES * INTS_PER_RULE;
    private static final int BUILD_TIMEOUT_S = 60;

    private final Path library;
    private final Path file;
    private final MappedByteBuffer rules;

    FailingCalls(Path folder) throws IOException, InterruptedException {
        library = folder.resolve("failing_calls.so");
        file = folder.resolve("failing_calls");
        Process build = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), "src/test/c/failing_calls.c", "-ldl")
                .inheritIO().start();
        assertThat(build.waitFor(BUILD_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(build.exitValue()).as("exit status of the C compiler").isZero();
        Files.write(file, new byte[RULE_BYTES * Call.values().length]);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            rules = channel.map(FileChannel.MapMode.READ_WRITE, 0, channel.size());
        }
        rules.order(ByteOrder.nativeOrder());
    }

    /** Adds the variables that load the library to a program's environment. */
    void addTo(Map<String, String> environment) {
        environment.put("LD_PRELOAD", library.toString());
        environment.put("FAILING_CALLS", file.toString());
    }

    /** From now on every nth call of a kind fails, that many times. */
    void fail(Call call, int error, int every, int times) {
        ByteBuffer rule = rules.slice(call.ordinal() * RULE_BYTES, RULE_BYTES).order(ByteOrder.nativeOrder());
        rule.putInt(2 * Integer.BYTES, 0); // off while the rule changes
        rule.putInt(0, error);
        rule.putInt(Integer.BYTES, every);
        rule.putInt(3 * Integer.BYTES, 0);
        rule.putInt(2 * Integer.BYTES, times);
    }

    void stop(Call call) {
        fail(call, 0, 0, 0);
    }

    /** How many calls of a kind have failed. */
    int failedCount(Call call) {
        return rules.getInt(call.ordinal() * RULE_BYTES + (INTS_PER_RULE - 1) * Integer.BYTES);
    }
}
