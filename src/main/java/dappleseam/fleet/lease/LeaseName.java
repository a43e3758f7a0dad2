package dappleseam.fleet.lease;

import java.util.regex.Pattern;

/** What a task of the whole fleet is called: 1 to 48 of the letters, digits, dots, dashes and underscores of ASCII. */
public record LeaseName(String text) {
    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9._-]{1,48}");

    public LeaseName {
        if (!FORM.matcher(text).matches()) {
            throw new IllegalArgumentException("no name of a lease");
        }
    }

    @Override
    public String toString() {
        return text;
    }
}
