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
final class AddressLocks {
    /** Descriptors used for the lock files. */
    static final int DESCRIPTORS = 3;
    private static final Logger LOG = System.getLogger(AddressLocks.class.getName());
    /** Version of the locking protocol, and name of the folder: incompatible versions of the program use separate files. */
    static final String VERSION = "dappleseam-seats-1";

    private final Path folder;
    private final String name;
    /** The lock files; null until they could be opened. */
    private FileChannel primaryFile;
    private FileChannel secondaryFile;
    /** Locked by the secondary process once it listens for clients. */
    private FileChannel listeningFile;
    private boolean isListening;
    private FileLock ownLock;
    private FileLock listeningLock;
    private boolean isPrimary;
    private volatile boolean hasOther;

    private AddressLocks(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** Tries to acquire a lock in that folder. If the folder cannot be used, the process assumes it is alone until a later refresh succeeds. */
    static AddressLocks acquire(Path folder, InetSocketAddress listen) {
        AddressLocks locks = new AddressLocks(folder, name(listen));
        locks.refresh();
        if (locks.primaryFile == null) {
            LOG.log(Level.WARNING, "another process on this address would not be seen: {0} cannot be used", folder);
        }
        return locks;
    }

    private void openFiles() {
        try {
            Path at = Files.createDirectories(folder.resolve(VERSION));
            secondaryFile = secondaryFile == null ? open(at.resolve(name + "-second")) : secondaryFile;
            listeningFile = listeningFile == null ? open(at.resolve(name + "-listens")) : listeningFile;
            primaryFile = open(at.resolve(name + "-first"));
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "address locks: {0}", e.toString());
        }
    }

    /** File name prefix for an address. */
    static String name(InetSocketAddress listen) {
        return listen.getHostString() + '-' + listen.getPort();
    }

    /** Whether this process holds the primary lock. */
    synchronized boolean isPrimary() {
        return isPrimary;
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Updates the state of the locks, without blocking. */
    synchronized void refresh() {
        if (primaryFile == null) {
            openFiles();
        }
        if (primaryFile == null) {
            return;
        }
        try {
            if (!isPrimary) {
                FileLock lock = primaryFile.tryLock();
                if (lock != null) {
                    isPrimary = true;
                    if (ownLock != null) {
                        ownLock.release();
                    }
                    ownLock = lock;
                    if (listeningLock != null) {
                        listeningLock.release();
                        listeningLock = null;
                    }
                } else if (ownLock == null) {
                    ownLock = secondaryFile.tryLock(); // a third process holds neither, and tries again at the next refresh
                }
            }
            acquireListeningLock();
            hasOther = !isPrimary || isLocked(secondaryFile);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "address locks: {0}", e.toString());
        }
    }

    private static boolean isLocked(FileChannel lockFile) throws IOException {
        FileLock lock = lockFile.tryLock();
        if (lock == null) {
            return true;
        }
        lock.release();
        return false;
    }

    /** Whether another process serves this address, or is about to. */
    boolean isShared() {
        return hasOther;
    }

    /** Records that this process listens for clients from now on. */
    synchronized void markListening() {
        isListening = true;
        try {
            acquireListeningLock();
        } catch (IOException | RuntimeException e) { // retried at the next refresh
            LOG.log(Level.WARNING, "address locks: {0}", e.toString());
        }
    }

    private void acquireListeningLock() throws IOException {
        if (isListening && listeningLock == null && primaryFile != null && !isPrimary) {
            listeningLock = listeningFile.tryLock();
        }
    }

    /** Whether the other process listens for clients, so that this one can hand them over. */
    synchronized boolean isOtherListening() {
        try {
            return primaryFile != null && isPrimary && isLocked(listeningFile);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "address locks: {0}", e.toString());
            return false;
        }
    }
}
