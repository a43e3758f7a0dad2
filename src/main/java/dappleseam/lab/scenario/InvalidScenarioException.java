package dappleseam.lab.scenario;

/** A scenario file is invalid; the message names the key at fault. */
public final class InvalidScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidScenarioException(String key, String problem) {
        super(key + ": " + problem);
    }
}
