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

    private final FileChannel first;
    private final FileChannel second;
    /** Locked by the second one once it listens for clients. */
    private final FileChannel listens;
    private FileLock mine;
    private FileLock listening;
    private boolean isFirst;
    private volatile boolean beside;

    private Seats(FileChannel first, FileChannel second, FileChannel listens) {
        this.first = first;
        this.second = second;
        this.listens = listens;
    }

    /** Takes a seat in that folder; a process that cannot is alone, as far as it knows. */
    static Seats take(Path folder, InetSocketAddress listen) {
        try {
            Path at = Files.createDirectories(folder.resolve(VERSION));
            String name = name(listen);
            Seats seats = new Seats(open(at.resolve(name + "-first")), open(at.resolve(name + "-second")),
                    open(at.resolve(name + "-listens")));
            seats.look();
            return seats;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "another process on this address would not be seen: {0}", e.toString());
            return new Seats(null, null, null);
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
        try {
            if (first != null && !isFirst) {
                listening = listens.tryLock();
            }
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "seats: {0}", e.toString());
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
