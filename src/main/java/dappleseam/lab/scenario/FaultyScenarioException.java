package dappleseam.lab.scenario;

/** A scenario is at fault; the message names the key. */
public final class FaultyScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    FaultyScenarioException(String key, String fault) {
        super(key + ": " + fault);
    }
}
