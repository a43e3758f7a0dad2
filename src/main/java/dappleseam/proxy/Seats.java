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
 * Whether another process serves the same address, as during an upgrade. There are two seats, each a file that its holder
 * locks: the one that came first and the one that takes over. A process that died holds no lock, however it died.
 */
final class Seats {
    /** Files held open. */
    static final int DESCRIPTORS = 3;
    private static final Logger LOG = System.getLogger(Seats.class.getName());
    /** Of the way the files are used; another version of this program with another way keeps to its own. */
    static final String VERSION = "dappleseam-seats-1";

    private final Path folder;
    private final String name;
    /** Null until they could be opened. */
    private FileChannel first;
    private FileChannel second;
    /** Locked by the second one once it listens for clients. */
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

    /** Takes a seat in that folder; a process that cannot is alone, as far as it knows, until a later look finds it can. */
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
            LOG.log(Level.DEBUG, "seats: {0}", e.toString());
        }
    }

    static String name(InetSocketAddress listen) {
        return listen.getHostString() + '-' + listen.getPort();
    }

    synchronized boolean isFirst() {
        return isFirst;
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Looks again; never waits. */
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
                    mine = second.tryLock(); // a third process sits nowhere, and waits for either
                }
            }
            lockListening();
            beside = !isFirst || isTaken(second);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "seats: {0}", e.toString());
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

    /** Another process serves this address, or is about to. */
    boolean areShared() {
        return beside;
    }

    /** This process listens for clients from now on. */
    synchronized void listens() {
        isListening = true;
        try {
            lockListening();
        } catch (IOException | RuntimeException e) { // tried again at the next look
            LOG.log(Level.WARNING, "seats: {0}", e.toString());
        }
    }

    private void lockListening() throws IOException {
        if (isListening && listening == null && first != null && !isFirst) {
            listening = listens.tryLock();
        }
    }

    /** Whether the other process listens for clients, so that this one need not. */
    synchronized boolean otherListens() {
        try {
            return first != null && isFirst && isTaken(listens);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "seats: {0}", e.toString());
            return false;
        }
    }
}
