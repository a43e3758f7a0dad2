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

/** A folder that all proxies reach, whose file system has locks: looking at the token and replacing the file are one step under one. */
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
            ChecksummedFile.writeDurably(file(), VERSION, json -> ListStore.write(json, token, number, nowMs, list));
        }
    }

    /** Null for nothing; damage is nothing, or a folder once spoilt would take nothing ever again. */
    private Stored seen() throws IOException {
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
