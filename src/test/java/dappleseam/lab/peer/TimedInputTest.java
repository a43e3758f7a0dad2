package dappleseam.lab.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class TimedInputTest {
    /** Otherwise a proxy is blamed for input that a busy laboratory read late. */
    @Test
    void lateReadsAreStampedWithTheEarliestPossibleArrival() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
             Socket client = new Socket(server.getInetAddress(), server.getLocalPort()); Socket socket = server.accept()) {
            TimedInput in = new TimedInput(socket.getInputStream(), System.nanoTime());
            OutputStream out = client.getOutputStream();
            out.write(1);
            assertThat(in.read()).isEqualTo(1);
            long first = in.receivedNanos();
            out.write(2);
            Thread.sleep(100); // the reader is busy elsewhere
            long late = System.nanoTime();
            assertThat(in.read()).isEqualTo(2);
            assertThat(in.receivedNanos()).isBetween(first, late - 50_000_000);
        }
    }

    @Test
    void blockingReadsAreStampedOnArrival() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
             Socket client = new Socket(server.getInetAddress(), server.getLocalPort()); Socket socket = server.accept()) {
            TimedInput in = new TimedInput(socket.getInputStream(), System.nanoTime());
            long[] sent = new long[1];
            Thread sender = new Thread(() -> {
                try {
                    Thread.sleep(100);
                    sent[0] = System.nanoTime();
                    client.getOutputStream().write(1);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            sender.start();
            assertThat(in.read()).isEqualTo(1);
            long now = System.nanoTime();
            sender.join();
            assertThat(in.receivedNanos()).as("no earlier than the reader could have been kept waiting").isGreaterThan(now - 100_000_000).isLessThanOrEqualTo(now);
        }
    }
}
