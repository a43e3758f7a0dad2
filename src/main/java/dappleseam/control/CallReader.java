package dappleseam.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the head of one HTTP/1.1 request incrementally, with a size limit, and skips a short body. Does no I/O itself. */
final class CallReader {
    /** Maximum size in bytes of the head, and of the body. No request needs a body; a short one is skipped. */
    static final int LONGEST = 4 << 10;
    private static final Pattern FIRST = Pattern.compile("([A-Z]{1,16}) (/[!-~]{0,255}) HTTP/1\\.[01]");
    private static final Pattern HEADER = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*(.*?)[ \\t]*");
    private static final int BAD = 400;
    private static final int TOO_LARGE = 413;
    private static final int HEAD_TOO_LARGE = 431;

    private final StringBuilder head = new StringBuilder();
    private int bodyLeft = -1;
    private int fault;
    private String method = "";
    private String path = "";

    /** Consumes bytes; returns true once the request is complete or invalid. Later bytes are ignored. */
    boolean read(ByteBuffer in) {
        while (in.hasRemaining() && !isDone()) {
            if (bodyLeft > 0) {
                int part = Math.min(bodyLeft, in.remaining());
                in.position(in.position() + part);
                bodyLeft -= part;
                continue;
            }
            head.append((char) (in.get() & 0xFF));
            int end = head.length();
            if (end > LONGEST) {
                fault = HEAD_TOO_LARGE;
            } else if (head.charAt(end - 1) == '\n' && (endsWith("\r\n\r\n") || endsWith("\n\n"))) {
                parse();
            }
        }
        return isDone();
    }

    private boolean endsWith(String tail) {
        return head.length() >= tail.length() && head.indexOf(tail, head.length() - tail.length()) >= 0;
    }

    private boolean isDone() {
        return fault != 0 || bodyLeft == 0;
    }

    private void parse() {
        String[] lines = head.toString().split("\r?\n");
        Matcher first = FIRST.matcher(lines.length == 0 ? "" : lines[0]);
        if (!first.matches()) {
            fault = BAD;
            return;
        }
        method = first.group(1);
        path = first.group(2);
        int length = 0;
        for (int i = 1; i < lines.length; i++) {
            Matcher header = HEADER.matcher(lines[i]);
            if (!header.matches() || header.group(1).equalsIgnoreCase("transfer-encoding")) {
                fault = BAD; // no request here needs a chunked body
                return;
            }
            if (header.group(1).equalsIgnoreCase("content-length")) {
                length = header.group(2).matches("\\d{1,9}") ? Integer.parseInt(header.group(2)) : -1;
            }
        }
        fault = length < 0 ? BAD : length > LONGEST ? TOO_LARGE : 0;
        bodyLeft = Math.max(0, length);
    }

    /** The HTTP status with which an invalid request is answered; 0 for a valid one. */
    int fault() {
        return fault;
    }

    String method() {
        return method;
    }

    /** The path without its query string. */
    String path() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    static byte[] answer(int status, String body) {
        String reason = switch (status) {
            case 200 -> "OK";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case TOO_LARGE -> "Content Too Large";
            case HEAD_TOO_LARGE -> "Request Header Fields Too Large";
            case 503 -> "Service Unavailable";
            default -> "Bad Request";
        };
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + ' ' + reason + "\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
                + "Content-Length: " + bytes.length + "\r\nConnection: close\r\n\r\n";
        byte[] answer = new byte[head.length() + bytes.length];
        System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, answer, 0, head.length());
        System.arraycopy(bytes, 0, answer, head.length(), bytes.length);
        return answer;
    }
}
