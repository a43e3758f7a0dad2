package dappleseam.lab.report;

import java.io.IOException;

/** The result of a run. */
public interface RunReport {
    /** One line per value. */
    String text();

    String json() throws IOException;

    /** The exit status of the command: 0 if all rules and guarantees hold, 1 if one is violated, 3 if that cannot be decided. */
    int exitStatus();
}
