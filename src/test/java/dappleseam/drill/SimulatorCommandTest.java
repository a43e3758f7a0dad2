package dappleseam.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class SimulatorCommandTest {
    private static final String SETTINGS = """
            {"ceilings": {"mostExecutions": 2}, "somethingNew": [1],
             "rules": {"coldFrom": 0.2, "warmAfterS": 10, "fallS": 1.5},
             "serviceGrades": [{"name": "read", "semantics": "read_like", "sloTimeS": 0.5, "statementTimeoutS": 1}]}""";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int serve(byte[] input) throws IOException {
        return SimulatorCommand.serve(new ByteArrayInputStream(input), out);
    }

    /** A frame with the clock at 2.5 s and the records given as code, fields, code, fields ... */
    private static byte[] frame(Object... records) {
        ByteBuffer b = ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN).position(16);
        for (int i = 0; i < records.length; i += 2) {
            byte[] fields = (byte[]) records[i + 1];
            b.put(((Integer) records[i]).byteValue()).putInt(fields.length).put(fields);
        }
        b.putInt(0, records.length / 2).putInt(4, b.position() - 8).putDouble(8, 2.5);
        return Arrays.copyOf(b.array(), b.position());
    }

    private static ByteBuffer fields(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN).putShort((short) 6);
    }

    private static byte[] createInstance(String settings) {
        byte[] json = settings.getBytes(StandardCharsets.UTF_8);
        return fields(14 + json.length).putLong(11).putInt(json.length).put(json).array();
    }

    private static byte[] list() {
        return fields(38).put((byte) 2).putLong(1).putInt(1)
                .putDouble(0).put((byte) 0).putInt(0x0100007F).putShort((short) 8080).putShort((short) 0)
                .put((byte) 0).put((byte) 1).putFloat(1).array();
    }

    private static byte[] query(int id) {
        return fields(38).putInt(id).put((byte) 0).putShort((short) 0).putLong(5).putDouble(0.75).array();
    }

    @Test
    void anEmptyBatchHasAnEmptyReply() throws IOException {
        assertThat(serve(frame())).isZero();
        assertThat(out.toByteArray()).isEqualTo(new byte[8]);
    }

    @Test
    void aQueryIsSentToTheListedCacheWithItsBytesUnchanged() throws IOException {
        assertThat(serve(frame(1, createInstance(SETTINGS), 2, list(), 3, query(0x0A0B0C0D)))).isZero();
        ByteBuffer reply = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertThat(reply.getInt(0)).isOne();
        assertThat(reply.getInt(4)).isEqualTo(reply.capacity() - 8);
        assertThat(reply.get(8)).isEqualTo((byte) 9);
        assertThat(reply.getInt(9)).isEqualTo(20);
        assertThat(reply.getShort(13)).isEqualTo((short) 6);
        assertThat(reply.getInt(15)).isEqualTo(0x0A0B0C0D);
        assertThat(reply.getInt(19)).isEqualTo(0x0100007F);
        assertThat(reply.getShort(23)).isEqualTo((short) 8080);
        assertThat(reply.getDouble(25)).isBetween(0.1, 0.75);
    }

    @Test
    void anInstanceRecreatedInTheSameBatchIsEmpty() throws IOException {
        byte[] exit = fields(2).array();
        assertThat(serve(frame(1, createInstance(SETTINGS), 2, list(), 10, exit,
                1, createInstance(SETTINGS), 3, query(3)))).isZero();
        assertThat(out.toByteArray()[8]).as("rejected").isEqualTo((byte) 5);
    }

    @Test
    void anExceptionOfTheRouterIsReported() throws IOException {
        byte[] unknownGrade = query(3);
        unknownGrade[6] = 9;
        assertThat(serve(frame(1, createInstance(SETTINGS), 2, list(), 3, unknownGrade))).isZero();
        assertThat(out.toByteArray()[8]).as("exception").isEqualTo((byte) 4);
    }

    @Test
    void aTruncatedFrameWritesNothing() throws IOException {
        byte[] whole = frame(1, createInstance(SETTINGS), 2, list(), 3, query(1));
        for (int length = 1; length < whole.length; length += 7) {
            assertThat(serve(Arrays.copyOf(whole, length))).isOne();
        }
        assertThat(out.size()).isZero();
    }

    @Test
    void inconsistentLengthsEndTheProcess() throws IOException {
        byte[] tooMany = frame(3, query(1));
        tooMany[0] = 2;
        byte[] tooFew = frame(3, query(1));
        tooFew[0] = 0;
        byte[] longList = list();
        longList[11] = 100;
        assertThat(serve(tooMany)).isOne();
        assertThat(serve(tooFew)).isOne();
        assertThat(serve(frame(3, new byte[4], 1, createInstance(SETTINGS), 2, longList))).isOne();
        assertThat(out.size()).isZero();
    }

    @Test
    void invalidSettingsEndTheProcess() throws IOException {
        assertThat(serve(frame(1, createInstance("{")))).isOne();
        assertThat(serve(frame(1, createInstance("[]")))).isOne();
        assertThat(serve(frame(1, createInstance(SETTINGS.replace("coldFrom", "x"))))).isOne();
        assertThat(out.size()).isZero();
    }
}
