package dappleseam.fleet.lease;

/** Work that one process does for the whole fleet, on a thread of its own while it holds the lease. */
public interface FleetTask {
    LeaseName lease();

    /** Time in ms from the end of one {@link #run} to the beginning of the next. */
    double intervalMs();

    /** What may be done, and with which token; to be asked at the instant of acting, each time. */
    interface Permit {
        /** For so many ms from now on; null where it is over. */
        Token token(double forMs);

        /** The resource has seen a later holder. */
        void fenced(Token seen);
    }

    /** Does it once. One that throws three times in a row, or has not returned after two leases, loses its lease. */
    void run(Permit permit) throws Exception;
}
