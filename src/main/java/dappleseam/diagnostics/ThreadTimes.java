package dappleseam.diagnostics;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** How long one thread has run on a processor and has waited for one, in ms since it began. */
public record ThreadTimes(double ranMs, double waitedMs) {
    private static final Path OF_CALLER = Path.of("/proc/thread-self/schedstat");
    private static final double NANOS_PER_MS = 1e6;
    /** Where the system does not tell. */
    private static final ThreadTimes UNKNOWN = new ThreadTimes(Double.NaN, Double.NaN);

    /** Of the thread that calls; NaN where the system does not tell. */
    public static ThreadTimes ofCurrentThread() {
        try {
            return parse(Files.readString(OF_CALLER, StandardCharsets.US_ASCII));
        } catch (IOException | RuntimeException e) {
            return UNKNOWN;
        }
    }

    /** The kernel's line: nanoseconds run, nanoseconds waited, number of time slices. */
    static ThreadTimes parse(String line) {
        String[] figures = line.strip().split(" ");
        return new ThreadTimes(Long.parseLong(figures[0]) / NANOS_PER_MS, Long.parseLong(figures[1]) / NANOS_PER_MS);
    }

    /** What was added since those earlier ones. */
    public ThreadTimes since(ThreadTimes earlier) {
        return new ThreadTimes(ranMs - earlier.ranMs, waitedMs - earlier.waitedMs);
    }
}
