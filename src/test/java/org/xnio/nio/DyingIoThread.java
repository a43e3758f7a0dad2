package org.xnio.nio;

import dappleseam.Main;
import java.io.IOException;

/** The program, whose I/O thread dies when a line is written to its standard input: its next select throws. */
public final class DyingIoThread {
    private DyingIoThread() {}

    public static void main(String[] args) throws Exception {
        Thread awaitLine = new Thread(DyingIoThread::closeSelectorsAfterLine);
        awaitLine.setDaemon(true);
        awaitLine.start();
        Main.main(args);
    }

    private static void closeSelectorsAfterLine() {
        try {
            System.in.read();
            for (Thread thread : Thread.getAllStackTraces().keySet()) {
                if (thread instanceof WorkerThread ioThread && ioThread.getName().contains("I/O")) {
                    ioThread.getSelector().close();
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
