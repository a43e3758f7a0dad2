package dappleseam.fleet.lastlist;

import dappleseam.fleet.lease.Token;
import dappleseam.list.ListFile;
import dappleseam.list.NodeList;
import dappleseam.list.ChecksummedFile;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A store in a folder that all proxies can access. Its file system must support locks: a write compares the token and replaces the
 * file under one lock.
 */
public final class FolderStore implements ListStore {
    private static final String VERSION = "dappleseam-last-list-2";

    private final Path folder;

    public FolderStore(Path folder) {
        this.folder = folder;
    }

    private Path file() {
        return folder.resolve("list");
    }

    @Override
    public void write(Token token, long number, double nowMs, NodeList list) throws IOException {
        Files.createDirectories(folder);
        try (FileChannel lockFile = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE); FileLock lock = lockFile.lock()) {
            Stored existing = lock.isValid() ? readIfPresent() : null;
            if (existing != null && !existing.isBefore(token, number)) {
                throw new FencedException(existing.token());
            }
            ChecksummedFile.writeDurably(file(), VERSION, json -> ListStore.write(json, token, number, nowMs, list));
        }
    }

    /** Null if there is no file. A damaged file counts as none, since otherwise no write would ever succeed again. */
    private Stored readIfPresent() throws IOException {
        try {
            return read();
        } catch (NoSuchFileException e) {
            return null;
        } catch (ChecksummedFile.DamagedException e) {
            return null;
        }
    }

    @Override
    public Stored read() throws IOException {
        try {
            return Stored.of(ChecksummedFile.read(file(), VERSION));
        } catch (IllegalArgumentException e) {
            throw new ChecksummedFile.DamagedException(e.getMessage());
        }
    }
}
