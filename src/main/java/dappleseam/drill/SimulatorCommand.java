package dappleseam.drill;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.FileOutputStream;
import java.io.FileDescriptor;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs routers for the simulator: reads batches of events from standard input and writes a reply to each to standard output. */
@Command(name = "drill", mixinStandardHelpOptions = true,
        description = "Make the routing decisions for the proxies of a simulation, with events on standard input and replies on standard output.")
public final class SimulatorCommand implements Callable<Integer> {
    /** Longest valid frame in bytes; a longer one is malformed input. */
    private static final int MAX_FRAME_BYTES = 1 << 30;

    @Override
    public Integer call() throws IOException {
        return serve(new BufferedInputStream(System.in, 1 << 16), new FileOutputStream(FileDescriptor.out));
    }

    /** Answers batches until the end of the input; returns the exit status. */
    static int serve(InputStream in, OutputStream out) throws IOException {
        BatchProcessor processor = new BatchProcessor();
        byte[] header = new byte[8];
        byte[] body = new byte[1 << 16];
        for (long frame = 0; ; frame++) {
            int got = in.readNBytes(header, 0, header.length);
            if (got == 0) {
                return 0;
            }
            try {
                ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
                int records = head.getInt(0);
                int length = head.getInt(4);
                if (got < header.length) {
                    throw new MalformedFrameException("input ends inside the header");
                }
                if (length < 8 || length > MAX_FRAME_BYTES) {
                    throw new MalformedFrameException("invalid length " + Integer.toUnsignedString(length));
                }
                if (length > body.length) {
                    body = new byte[Math.max(length, 2 * body.length)];
                }
                int read = in.readNBytes(body, 0, length);
                if (read < length) {
                    throw new MalformedFrameException(
                            "input ends after " + read + " of " + length + " bytes");
                }
                ByteBuffer batch = ByteBuffer.wrap(body, 0, length).order(ByteOrder.LITTLE_ENDIAN);
                ByteBuffer reply = processor.process(records, batch);
                out.write(reply.array(), 0, reply.limit());
                out.flush();
            } catch (MalformedFrameException e) {
                System.err.println("dappleseam drill: frame " + frame + ": " + e.getMessage());
                return 1;
            }
        }
    }
}
