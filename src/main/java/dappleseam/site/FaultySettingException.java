package dappleseam.site;

/** A key of the configuration is missing or has an invalid value; the message starts with the key. */
public final class FaultySettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    FaultySettingException(String key, String fault) {
        super(key + ": " + fault);
    }
}
