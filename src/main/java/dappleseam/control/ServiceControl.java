package dappleseam.control;

/** The service requests of the control server. No call blocks. */
public interface ServiceControl {
    /** What becomes of a call. */
    enum Result {
        /** It is in force until another call ends it. */
        ACCEPTED,
        /** The process has been told to end. */
        ENDING,
        /** Another process on the address would not know of it. */
        OTHER_PROCESS_NOT_TOLD
    }

    /** Whether the proxy accepts clients. */
    boolean isReady();

    /** Sends clients away, until {@link #returnToService}. */
    Result takeOutOfService();

    /** Accepts clients again. */
    Result returnToService();
}
