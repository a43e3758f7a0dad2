package dappleseam.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** Bytes in a row of pooled buffers: added at the end, taken from the front. */
public final class BufferChain {
    private final BufferPool pool;
    /** Each from its position, the first byte not yet taken, to its limit. */
    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private long size;

    public BufferChain(BufferPool pool) {
        this.pool = pool;
    }

    public long size() {
        return size;
    }

    /** Adds up to {@code count} bytes of {@code in}, and moves its position past them. */
    public void put(ByteBuffer in, int count) {
        int left = Math.min(count, in.remaining());
        while (left > 0) {
            ByteBuffer last = buffers.peekLast();
            if (last == null || last.limit() == last.capacity()) {
                last = pool.take().limit(0);
                buffers.addLast(last);
            }
            int part = Math.min(left, last.capacity() - last.limit());
            int at = last.limit();
            last.limit(at + part);
            last.put(at, in, in.position(), part);
            in.position(in.position() + part);
            left -= part;
            size += part;
        }
    }

    public BufferChain put(String ascii) {
        byte[] bytes = ascii.getBytes(StandardCharsets.ISO_8859_1);
        put(ByteBuffer.wrap(bytes), bytes.length);
        return this;
    }

    /** Adds a copy of all that {@code other} holds. */
    public BufferChain copyFrom(BufferChain other) {
        copyRange(other, 0, other.size);
        return this;
    }

    /** Moves all that {@code other} holds to the end of this one. */
    public void moveFrom(BufferChain other) {
        if (other.size <= BufferPool.SIZE / 4) {
            copyFrom(other); // a short answer does not keep a buffer of its own
            other.release();
        } else {
            buffers.addAll(other.buffers);
            size += other.size;
            other.buffers.clear();
            other.size = 0;
        }
    }

    /** Adds a copy of up to {@code count} bytes of {@code other}, from its byte {@code from} on; says how many. */
    public long copyRange(BufferChain other, long from, long count) {
        long skip = from;
        long left = count;
        for (ByteBuffer buffer : other.buffers) {
            int here = buffer.remaining();
            if (skip < here && left > 0) {
                ByteBuffer part = buffer.duplicate().position(buffer.position() + (int) skip);
                int bytes = (int) Math.min(left, part.remaining());
                put(part, bytes);
                left -= bytes;
                skip = 0;
            } else {
                skip -= Math.min(skip, here);
            }
        }
        return count - left;
    }

    /** Moves up to {@code most} bytes from the front of {@code other} to the end of this one. */
    public void moveUpTo(BufferChain other, long most) {
        long left = most;
        while (left > 0 && !other.buffers.isEmpty()) {
            ByteBuffer first = other.buffers.peekFirst();
            int bytes = first.remaining();
            if (bytes <= left && bytes > BufferPool.SIZE / 2) {
                buffers.addLast(other.buffers.pollFirst());
                size += bytes;
            } else {
                bytes = (int) Math.min(left, bytes);
                put(first, bytes);
                if (!first.hasRemaining()) {
                    pool.giveBack(other.buffers.pollFirst());
                }
            }
            other.size -= bytes;
            left -= bytes;
        }
    }

    /** Writes what the channel takes, gives those buffers back, and says how many bytes went. */
    long writeTo(WritableByteChannel channel) throws IOException {
        long written = 0;
        while (!buffers.isEmpty()) {
            ByteBuffer first = buffers.peekFirst();
            written += channel.write(first);
            if (first.hasRemaining()) {
                break;
            }
            pool.giveBack(buffers.pollFirst());
        }
        size -= written;
        return written;
    }

    public byte[] bytes() {
        ByteBuffer all = ByteBuffer.allocate((int) size);
        buffers.forEach(buffer -> all.put(buffer.duplicate()));
        return all.array();
    }

    public String text() {
        return new String(bytes(), StandardCharsets.ISO_8859_1);
    }

    public void release() {
        buffers.forEach(pool::giveBack);
        buffers.clear();
        size = 0;
    }
}
