package dappleseam.lab.report;

import java.io.IOException;

/** What a rehearsal came to, however it is told. */
public interface Told {
    /** One line a thing. */
    String text();

    String json() throws IOException;

    /** As the command ends: 0 where all is kept, 1 where something is broken, 3 where that cannot be told. */
    int status();
}
