package dappleseam.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/** A byte queue made of pooled buffers: bytes are appended at the end and consumed from the front. */
public final class BufferChain {
    private final BufferPool pool;
    /** The content of each buffer is from its position, the first byte not consumed, to its limit. */
    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private long size;

    public BufferChain(BufferPool pool) {
        this.pool = pool;
    }

    /** A chain for {@code length} bytes, fewer than a buffer has, which takes none of the pool's buffers for them. */
    static BufferChain small(BufferPool pool, int length) {
        BufferChain chain = new BufferChain(pool);
        chain.buffers.addLast(ByteBuffer.allocate(length).limit(0));
        return chain;
    }

    public long size() {
        return size;
    }

    /** Appends up to {@code count} bytes of {@code in}, and advances its position past them. */
    public void put(ByteBuffer in, int count) {
        int left = Math.min(count, in.remaining());
        while (left > 0) {
            ByteBuffer last = buffers.peekLast();
            if (last == null || last.limit() == last.capacity()) {
                last = pool.acquire().limit(0);
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

    /** Appends the characters of {@code ascii} as single bytes. */
    public BufferChain put(String ascii) {
        byte[] bytes = ascii.getBytes(StandardCharsets.ISO_8859_1);
        put(ByteBuffer.wrap(bytes), bytes.length);
        return this;
    }

    /** Appends a copy of the whole content of {@code other}. */
    public BufferChain copyFrom(BufferChain other) {
        copyRange(other, 0, other.size);
        return this;
    }

    /** Moves the whole content of {@code other} to the end of this chain. */
    public void moveFrom(BufferChain other) {
        if (other.size <= BufferPool.SIZE / 4) {
            copyFrom(other); // copied, so that a short reply does not occupy a whole buffer
            other.release();
        } else {
            buffers.addAll(other.buffers);
            size += other.size;
            other.buffers.clear();
            other.size = 0;
        }
    }

    /** Appends a copy of up to {@code count} bytes of {@code other} starting at offset {@code from}; returns how many were copied. */
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

    /** Moves up to {@code maxBytes} bytes from the front of {@code other} to the end of this chain. */
    public void moveUpTo(BufferChain other, long maxBytes) {
        long left = maxBytes;
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
                    pool.recycle(other.buffers.pollFirst());
                }
            }
            other.size -= bytes;
            left -= bytes;
        }
    }

    /** Writes as much as the channel takes, recycles the emptied buffers, and returns the number of bytes written. */
    long writeTo(WritableByteChannel channel) throws IOException {
        long written = 0;
        while (!buffers.isEmpty()) {
            ByteBuffer first = buffers.peekFirst();
            written += channel.write(first);
            if (first.hasRemaining()) {
                break;
            }
            pool.recycle(buffers.pollFirst());
        }
        size -= written;
        return written;
    }

    /** A copy of the content. */
    public byte[] bytes() {
        ByteBuffer all = ByteBuffer.allocate((int) size);
        buffers.forEach(buffer -> all.put(buffer.duplicate()));
        return all.array();
    }

    /** The CRC-32C checksum of the content. */
    public long checksum() {
        CRC32C checksum = new CRC32C();
        buffers.forEach(buffer -> checksum.update(buffer.duplicate()));
        return checksum.getValue();
    }

    /** Updates a checksum with the first {@code count} bytes. */
    public void updateChecksum(Checksum checksum, long count) {
        long left = count;
        for (ByteBuffer buffer : buffers) {
            int part = (int) Math.min(left, buffer.remaining());
            checksum.update(buffer.duplicate().limit(buffer.position() + part));
            left -= part;
        }
    }

    /** Discards the first {@code count} bytes, and returns emptied buffers to the pool. */
    public void discard(long count) {
        long left = Math.min(count, size);
        size -= left;
        while (left > 0) {
            ByteBuffer first = buffers.peekFirst();
            int part = (int) Math.min(left, first.remaining());
            first.position(first.position() + part);
            left -= part;
            if (!first.hasRemaining()) {
                pool.recycle(buffers.pollFirst());
            }
        }
    }

    /** The content as text, one character per byte. */
    public String text() {
        return new String(bytes(), StandardCharsets.ISO_8859_1);
    }

    /** Discards the content and returns its buffers to the pool. */
    public void release() {
        buffers.forEach(pool::recycle);
        buffers.clear();
        size = 0;
    }
}
