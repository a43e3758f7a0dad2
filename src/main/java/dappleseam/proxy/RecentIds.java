package dappleseam.proxy;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The ids of recent queries, so that none is taken twice. The table may be a file that both processes of an upgrade map: an id that one of them has
 * taken is known to the other. Bounded: sets of entries, of which a new one replaces the oldest.
 *
 * <p>An entry is a hash of the id and the time it was taken at, in one 64-bit word that is written atomically.
 */
final class RecentIds {
    /** Time in ms for which an id is remembered, if there is room: longer than any query is open. */
    private static final double RETENTION_MS = 60_000;
    /** Entries, and entries in a set; a busy proxy takes over a thousand queries a second. */
    private static final int ENTRIES = 1 << 16;
    private static final int SET_ENTRIES = 16;
    private static final int BYTES = ENTRIES * Long.BYTES;
    /** The low bits of an entry are its time, in units of so many ms; they wrap after 17 minutes. */
    private static final int TIME_BITS = 16;
    private static final int TIME_MASK = (1 << TIME_BITS) - 1;
    private static final double TIME_UNIT_MS = 16;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final VarHandle WORDS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;

    private RecentIds(ByteBuffer table) {
        this.table = table;
    }

    /** A table for this process alone. */
    static RecentIds ofProcess() {
        return new RecentIds(ByteBuffer.allocateDirect(BYTES));
    }

    /** A table that all processes share which open the same file. */
    static RecentIds shared(Path file) throws IOException {
        Files.createDirectories(file.getParent());
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            ByteBuffer zeros = ByteBuffer.allocate(BYTES);
            for (long size = channel.size(); size < BYTES; size = channel.size()) { // written, as a hole would end the process when the disk is full
                channel.write(zeros.position((int) size), size);
            }
            return new RecentIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES));
        }
    }

    /** Adds an id; returns false if it was added within the retention time, here or by another process. */
    boolean add(String id, double nowMs) {
        long hash = hash(id);
        int time = (int) ((long) (nowMs / TIME_UNIT_MS) & TIME_MASK);
        long entry = hash & ~(long) TIME_MASK | time;
        int first = (int) ((hash >>> TIME_BITS) % (ENTRIES / SET_ENTRIES)) * SET_ENTRIES;
        while (true) {
            int replaced = first;
            long replacedWord = 0;
            int oldestAge = -1;
            for (int i = first; i < first + SET_ENTRIES; i++) {
                long known = word(i);
                int age = known == 0 ? Integer.MAX_VALUE : time - (int) (known & TIME_MASK) & TIME_MASK;
                if (known != 0 && (known ^ entry) >>> TIME_BITS == 0 && age * TIME_UNIT_MS < RETENTION_MS) {
                    return false;
                }
                if (age > oldestAge) {
                    oldestAge = age;
                    replaced = i;
                    replacedWord = known;
                }
            }
            if (WORDS.compareAndSet(table, replaced * Long.BYTES, replacedWord, entry)) {
                return isFirst(entry, first, replaced);
            }
        }
    }

    /** Whether no other process has added the same id in another place at the same moment; the earlier place wins. */
    private boolean isFirst(long entry, int first, int place) {
        for (int i = first; i < place; i++) {
            long other = word(i);
            if (other != 0 && (other ^ entry) >>> TIME_BITS == 0 && ((int) (entry & TIME_MASK) - (int) (other & TIME_MASK) & TIME_MASK) * TIME_UNIT_MS < RETENTION_MS) {
                return false;
            }
        }
        return true;
    }

    private long word(int index) {
        return (long) WORDS.getVolatile(table, index * Long.BYTES);
    }

    /** FNV-1a with a final mix; the table needs all bits to differ. */
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 32) * 0x9e3779b97f4a7c15L;
        return hash ^ hash >>> 29;
    }
}
