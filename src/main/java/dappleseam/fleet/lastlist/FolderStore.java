package dappleseam.fleet.lastlist;

import dappleseam.fleet.lease.Token;
import dappleseam.list.ListFile;
import dappleseam.list.NodeList;
import dappleseam.list.SealedFile;
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
        try (FileChannel locks = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE); FileLock lock = locks.lock()) {
            Stored seen = lock.isValid() ? seen() : null;
            if (seen != null && !seen.isBefore(token, number)) {
                throw new FencedException(seen.token());
            }
            SealedFile.writeForced(file(), VERSION, json -> ListStore.write(json, token, number, nowMs, list));
        }
    }

    /** Null if there is no file. A damaged file counts as none, since otherwise no write would ever succeed again. */
    private Stored seen() throws IOException {
        try {
            return read();
        } catch (NoSuchFileException e) {
            return null;
        } catch (SealedFile.DamagedException e) {
            return null;
        }
    }

    @Override
    public Stored read() throws IOException {
        try {
            return Stored.of(SealedFile.read(file(), VERSION));
        } catch (IllegalArgumentException e) {
            throw new SealedFile.DamagedException(e.getMessage());
        }
    }
}
