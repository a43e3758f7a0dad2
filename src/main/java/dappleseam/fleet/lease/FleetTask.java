package dappleseam.fleet.lease;

/** Work that one process does for the whole fleet, on its own thread, while it holds the lease. */
public interface FleetTask {
    /** The lease under which the task runs. */
    LeaseName lease();

    /** Time in ms from the end of one {@link #run} to the start of the next. */
    double intervalMs();

    /** Permission to act. Ask for the token again right before each action. */
    interface Permit {
        /** The token, if the lease is held for {@code forMs} from now on; null otherwise. */
        Token token(double forMs);

        /** Reports that the resource has seen a higher token. */
        void fenced(Token seen);
    }

    /** Runs the task once. A task that throws three times in a row, or does not return within two lease times, loses its lease. */
    void run(Permit permit) throws Exception;
}
