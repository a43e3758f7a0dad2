package dappleseam.control;

/** The service requests of the control server. No call blocks. */
public interface ServiceControl {
    /** Whether the proxy accepts clients. */
    boolean isReady();

    /** Sends clients away, until {@link #returnToService}. */
    void takeOutOfService();

    /** Accepts clients again. */
    void returnToService();
}
