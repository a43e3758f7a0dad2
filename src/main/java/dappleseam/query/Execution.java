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
    private boolean ended;

    public Execution(QueryId query, int number, Command command, double sentAt, double waitUntil,
                     BiConsumer<Execution, Ending> whenEnded) {
        this.query = query;
        this.number = number;
        this.command = command;
        this.sentAt = sentAt;
        this.waitUntil = waitUntil;
        this.whenEnded = whenEnded;
    }

    public boolean hasEnded() {
        return ended;
    }

    public void end(Ending ending) {
        if (!ended) {
            ended = true;
            whenEnded.accept(this, ending);
        } else if (ending.value() != null) {
            ending.value().release();
        }
    }
}
