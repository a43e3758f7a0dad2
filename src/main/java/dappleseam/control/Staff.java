package dappleseam.control;

/** What the operators' calls ask of the proxy; each returns at once. */
public interface Staff {
    boolean isReady();

    void outOfService();

    void inService();
}
