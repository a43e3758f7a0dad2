package dappleseam.control;

/** The service requests of the control server. No call blocks. */
public interface Staff {
    /** Whether the proxy accepts clients. */
    boolean isReady();

    /** Sends clients away, until {@link #inService}. */
    void outOfService();

    /** Accepts clients again. */
    void inService();
}
