package dappleseam.fleet.lease;

import java.util.regex.Pattern;

/** Name of a lease, and of the task run under it: 1 to 48 ASCII letters, digits, dots, dashes and underscores. */
public record LeaseName(String text) {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,48}");

    public LeaseName {
        if (!PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException("invalid lease name");
        }
    }

    @Override
    public String toString() {
        return text;
    }
}
