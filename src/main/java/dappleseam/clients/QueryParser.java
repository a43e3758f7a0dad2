package dappleseam.clients;

import dappleseam.query.Command;
import dappleseam.wire.BufferChain;
import dappleseam.wire.RespMessage;
import java.util.regex.Pattern;

/** Reads the queries among clients' commands. */
final class QueryParser {
    /** Keys and ids: only characters that are safe in a URL path and in an HTTP header. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._~:-]{1,128}");
    private static final int MAX_NAME_LENGTH = 128;
    private static final int MAX_FACTS_LENGTH = 1024;
    /** Index of the facts in a command. */
    static final int FACTS_INDEX = 3;
    private static final int READ_PARTS = 4;
    private static final int WRITE_PARTS = 5;

    private QueryParser() {}

    /** A query, or the error line for a command that is none; the other one is null. */
    record Result(Command command, String error) {}

    /** Reads a command that names a query; takes a write's value from the message. */
    static Result parse(RespMessage message, boolean isWrite) {
        int parts = isWrite ? WRITE_PARTS : READ_PARTS;
        String key = text(message.bulk(1), MAX_NAME_LENGTH);
        String id = text(message.bulk(2), MAX_NAME_LENGTH);
        String facts = text(message.bulk(FACTS_INDEX), MAX_FACTS_LENGTH);
        if (message.bulks.size() != parts || message.bulk(parts - 1) == null) {
            return new Result(null, "-ERR wrong number of arguments");
        }
        if (!NAME.matcher(key).matches() || !NAME.matcher(id).matches()) {
            return new Result(null, "-ERR malformed key or id");
        }
        if (!isFactList(facts)) {
            return new Result(null, "-ERR malformed list of names and values");
        }
        return new Result(new Command(key, id, facts, isWrite ? message.takeBulk(WRITE_PARTS - 1) : null), null);
    }

    /** Whether the text has one entry or more, of printable characters without spaces, with a comma between any two. */
    private static boolean isFactList(String text) {
        boolean isEntryEmpty = true;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean endsEntry = c == ',';
            if (endsEntry ? isEntryEmpty : c < '!' || c > '~') {
                return false;
            }
            isEntryEmpty = endsEntry;
        }
        return !isEntryEmpty;
    }

    /** The facts of a command that has been read up to its value; empty if they are missing or too long. */
    static String facts(BufferChain bulk) {
        return text(bulk, MAX_FACTS_LENGTH);
    }

    private static String text(BufferChain bulk, int maxLength) {
        return bulk == null || bulk.size() > maxLength ? "" : bulk.text();
    }
}
