package dappleseam.diagnostics;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** CPU time and run-queue wait time of one thread, in ms since it started; from Linux' schedstat. */
public record ThreadTimes(double ranMs, double waitedMs) {
    private static final Path SCHEDSTAT = Path.of("/proc/thread-self/schedstat");
    private static final double NANOS_PER_MS = 1e6;
    /** Returned where the system does not provide the figures. */
    private static final ThreadTimes UNKNOWN = new ThreadTimes(Double.NaN, Double.NaN);

    /** The times of the calling thread; NaN where the system does not provide them. */
    public static ThreadTimes ofCurrentThread() {
        try {
            return parse(Files.readString(SCHEDSTAT, StandardCharsets.US_ASCII));
        } catch (IOException | RuntimeException e) {
            return UNKNOWN;
        }
    }

    /** Parses the kernel's line: nanoseconds run, nanoseconds waited, number of time slices. */
    static ThreadTimes parse(String line) {
        String[] figures = line.strip().split(" ");
        return new ThreadTimes(Long.parseLong(figures[0]) / NANOS_PER_MS, Long.parseLong(figures[1]) / NANOS_PER_MS);
    }

    /** The difference to earlier times of the same thread. */
    public ThreadTimes since(ThreadTimes earlier) {
        return new ThreadTimes(ranMs - earlier.ranMs, waitedMs - earlier.waitedMs);
    }
}
