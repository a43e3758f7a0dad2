package dappleseam.drill;

import dappleseam.router.Host;
import dappleseam.router.NodeId;
import dappleseam.router.QueryId;
import dappleseam.router.TimerId;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The reply frame being written; {@link #forInstance} gives one instance its host. */
final class Reply {
    private static final int HEADER = 8;
    private static final int LONGEST_TEXT = 0xFFFF;
    private static final double S_PER_MS = 0.001;

    private ByteBuffer frame = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    void begin() {
        frame.clear().position(HEADER);
        records = 0;
    }

    ByteBuffer finish() {
        frame.putInt(0, records).putInt(4, frame.position() - HEADER);
        return frame.flip();
    }

    Host forInstance(int instance) {
        return new InstanceHost(instance);
    }

    void fault(int instance, String cause) {
        text(4, instance, cause);
    }

    private ByteBuffer start(int code, int instance, int fieldBytes) {
        int needed = frame.position() + 7 + fieldBytes;
        if (needed > frame.capacity()) {
            int position = frame.position();
            frame = ByteBuffer.wrap(Arrays.copyOf(frame.array(), 2 * needed)).order(ByteOrder.LITTLE_ENDIAN);
            frame.position(position);
        }
        records++;
        return frame.put((byte) code).putInt(2 + fieldBytes).putShort((short) instance);
    }

    private void text(int code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, LONGEST_TEXT);
        start(code, instance, 2 + length).putShort((short) length).put(bytes, 0, length);
    }

    private void node(int code, int instance, NodeId node) {
        putNode(start(code, instance, 6), node);
    }

    private static ByteBuffer putNode(ByteBuffer to, NodeId node) {
        return to.putInt((int) node.value()).putShort((short) (node.value() >>> 32));
    }

    private final class InstanceHost implements Host {
        private final int instance;

        InstanceHost(int instance) {
            this.instance = instance;
        }

        @Override
        public void execute(QueryId query, NodeId node, double timeoutMs) {
            putNode(start(9, instance, 18).putInt(query.value()), node).putDouble(timeoutMs * S_PER_MS);
        }

        @Override
        public void cancel(QueryId query, int execution) {
            start(8, instance, 6).putInt(query.value()).putShort((short) execution);
        }

        @Override
        public void reject(QueryId query, double retryAfterMs) {
            start(5, instance, 12).putInt(query.value()).putDouble(retryAfterMs * S_PER_MS);
        }

        @Override
        public void abort(QueryId query) {
            start(1, instance, 4).putInt(query.value());
        }

        @Override
        public void closeIdle(NodeId node) {
            node(6, instance, node);
        }

        @Override
        public void followList() {
            start(12, instance, 1).put((byte) 1);
        }

        @Override
        public void startTimer(TimerId timer, double delayMs) {
            start(2, instance, 12).putDouble(delayMs * S_PER_MS).putInt(timer.value());
        }

        @Override
        public void log(String text) {
            text(11, instance, text);
        }
    }
}
