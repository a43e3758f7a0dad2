package dappleseam.fleet.membership;

import java.util.regex.Pattern;

/** A member's name, which survives restarts: 1 to 48 ASCII letters, digits, dots, dashes and underscores. */
public record MemberName(String text) {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,48}");

    public MemberName {
        if (!PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException("not a valid member name");
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MemberName that && that.text.equals(text);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    @Override
    public String toString() {
        return text;
    }
}
