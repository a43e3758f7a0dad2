package dappleseam.proxy;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Detects whether another process serves the same address, as during an upgrade. The process that came first locks the primary
 * file, the one that takes over the secondary file. The system releases the locks of a process however it dies.
 */
final class Seats {
    /** Descriptors used for the lock files. */
    static final int DESCRIPTORS = 3;
    private static final Logger LOG = System.getLogger(Seats.class.getName());
    /** Version of the locking protocol, and name of the folder: incompatible versions of the program use separate files. */
    static final String VERSION = "dappleseam-seats-1";

    private final Path folder;
    private final String name;
    /** The lock files; null until they could be opened. */
    private FileChannel first;
    private FileChannel second;
    /** Locked by the secondary process once it listens for clients. */
    private FileChannel listens;
    private boolean isListening;
    private FileLock mine;
    private FileLock listening;
    private boolean isFirst;
    private volatile boolean beside;

    private Seats(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** Tries to acquire a lock in that folder. If the folder cannot be used, the process assumes it is alone until a later refresh succeeds. */
    static Seats take(Path folder, InetSocketAddress listen) {
        Seats seats = new Seats(folder, name(listen));
        seats.look();
        if (seats.first == null) {
            LOG.log(Level.WARNING, "another process on this address would not be seen: {0} cannot be used", folder);
        }
        return seats;
    }

    private void openFiles() {
        try {
            Path at = Files.createDirectories(folder.resolve(VERSION));
            second = second == null ? open(at.resolve(name + "-second")) : second;
            listens = listens == null ? open(at.resolve(name + "-listens")) : listens;
            first = open(at.resolve(name + "-first"));
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "address locks: {0}", e.toString());
        }
    }

    /** File name prefix for an address. */
    static String name(InetSocketAddress listen) {
        return listen.getHostString() + '-' + listen.getPort();
    }

    /** Whether this process holds the primary lock. */
    synchronized boolean isFirst() {
        return isFirst;
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Updates the state of the locks, without blocking. */
    synchronized void look() {
        if (first == null) {
            openFiles();
        }
        if (first == null) {
            return;
        }
        try {
            if (!isFirst) {
                FileLock lock = first.tryLock();
                if (lock != null) {
                    isFirst = true;
                    if (mine != null) {
                        mine.release();
                    }
                    mine = lock;
                    if (listening != null) {
                        listening.release();
                        listening = null;
                    }
                } else if (mine == null) {
                    mine = second.tryLock(); // a third process holds neither, and tries again at the next refresh
                }
            }
            lockListening();
            beside = !isFirst || isTaken(second);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "address locks: {0}", e.toString());
        }
    }

    private static boolean isTaken(FileChannel seat) throws IOException {
        FileLock lock = seat.tryLock();
        if (lock == null) {
            return true;
        }
        lock.release();
        return false;
    }

    /** Whether another process serves this address, or is about to. */
    boolean areShared() {
        return beside;
    }

    /** Records that this process listens for clients from now on. */
    synchronized void listens() {
        isListening = true;
        try {
            lockListening();
        } catch (IOException | RuntimeException e) { // retried at the next refresh
            LOG.log(Level.WARNING, "address locks: {0}", e.toString());
        }
    }

    private void lockListening() throws IOException {
        if (isListening && listening == null && first != null && !isFirst) {
            listening = listens.tryLock();
        }
    }

    /** Whether the other process listens for clients, so that this one can hand them over. */
    synchronized boolean otherListens() {
        try {
            return first != null && isFirst && isTaken(listens);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "address locks: {0}", e.toString());
            return false;
        }
    }
}
