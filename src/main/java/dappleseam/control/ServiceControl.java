package dappleseam.control;

/** The service requests of the control server. No call blocks. */
public interface ServiceControl {
    /** Whether the proxy accepts clients. */
    boolean isReady();

    /** Sends clients away, until {@link #returnToService}. False if that can't be carried out. */
    boolean takeOutOfService();

    /** Accepts clients again. False if that can't be carried out. */
    boolean returnToService();
}
