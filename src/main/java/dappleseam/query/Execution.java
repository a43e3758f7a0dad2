package dappleseam.query;

import dappleseam.router.QueryId;
import java.util.function.BiConsumer;

/** One execution on its way; it ends once, and what comes for it later is dropped. */
public final class Execution {
    public final QueryId query;
    public final int number;
    public final Command command;
    public final double sentAt;
    public final double waitUntil;
    private final BiConsumer<Execution, Ending> whenEnded;
    private final Runnable whenWritten;
    private boolean ended;
    private boolean written;

    public Execution(QueryId query, int number, Command command, double sentAt, double waitUntil,
                     Runnable whenWritten, BiConsumer<Execution, Ending> whenEnded) {
        this.query = query;
        this.number = number;
        this.command = command;
        this.sentAt = sentAt;
        this.waitUntil = waitUntil;
        this.whenWritten = whenWritten;
        this.whenEnded = whenEnded;
    }

    /** Its last byte has gone to the node. */
    public void written() {
        if (!written) {
            written = true;
            whenWritten.run();
        }
    }

    public boolean hasEnded() {
        return ended;
    }

    public void end(Ending ending) {
        if (!ended) {
            ended = true;
            whenEnded.accept(this, ending);
        } else {
            ending.release();
        }
    }
}
