package dappleseam.fleet.lastlist;

import com.fasterxml.jackson.databind.JsonNode;
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

/** A folder that all proxies reach, whose file system has locks: looking at the token and replacing the file are one step under one. */
public final class FolderStore implements ListStore {
    private static final String VERSION = "dappleseam-last-list-1";

    private final Path folder;

    public FolderStore(Path folder) {
        this.folder = folder;
    }

    private Path file() {
        return folder.resolve("list");
    }

    @Override
    public void write(Token token, double nowMs, NodeList list) throws IOException {
        Files.createDirectories(folder);
        try (FileChannel locks = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE); FileLock lock = locks.lock()) {
            Token seen = lock.isValid() ? seen() : Token.NONE;
            if (token.isBelow(seen)) {
                throw new FencedException(seen);
            }
            SealedFile.writeForced(file(), VERSION, json -> {
                json.writeStartObject();
                json.writeArrayFieldStart("token");
                json.writeNumber(token.round());
                json.writeNumber(token.nonce());
                json.writeEndArray();
                json.writeNumberField("written_ms", nowMs);
                json.writeFieldName("list");
                ListFile.write(json, list);
                json.writeEndObject();
            });
        }
    }

    /** Damage is no token, or a folder once spoilt would take nothing ever again. */
    private Token seen() throws IOException {
        try {
            return read().token();
        } catch (NoSuchFileException e) {
            return Token.NONE;
        } catch (SealedFile.DamagedException e) {
            return Token.NONE;
        }
    }

    @Override
    public Stored read() throws IOException {
        JsonNode root = SealedFile.read(file(), VERSION);
        try {
            return new Stored(new Token(root.path("token").path(0).asLong(), root.path("token").path(1).asLong()), root.path("written_ms").asDouble(),
                    root.path("list"));
        } catch (IllegalArgumentException e) {
            throw new SealedFile.DamagedException(e.getMessage());
        }
    }
}
