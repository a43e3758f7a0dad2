package dappleseam.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the head of one HTTP/1.1 request incrementally, with a size limit, and skips a short body. Does no I/O itself. */
final class HttpRequestReader {
    /** Maximum size in bytes of the head, and of the body. No request needs a body; a short one is skipped. */
    static final int MAX_BYTES = 4 << 10;
    private static final Pattern REQUEST_LINE = Pattern.compile("([A-Z]{1,16}) (/[!-~]{0,255}) HTTP/1\\.[01]");
    private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern LENGTH = Pattern.compile("\\d{1,9}");
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int HEAD_TOO_LARGE = 431;

    private final StringBuilder head = new StringBuilder();
    private int bodyBytesLeft = -1;
    private int errorStatus;
    private String method = "";
    private String path = "";

    /** Consumes bytes; returns true once the request is complete or invalid. Later bytes are ignored. */
    boolean read(ByteBuffer in) {
        while (in.hasRemaining() && !isDone()) {
            if (bodyBytesLeft > 0) {
                int part = Math.min(bodyBytesLeft, in.remaining());
                in.position(in.position() + part);
                bodyBytesLeft -= part;
                continue;
            }
            head.append((char) (in.get() & 0xFF));
            int end = head.length();
            if (end > MAX_BYTES) {
                errorStatus = HEAD_TOO_LARGE;
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
        return errorStatus != 0 || bodyBytesLeft == 0;
    }

    private void parse() {
        String[] lines = head.toString().split("\r?\n");
        Matcher requestLine = REQUEST_LINE.matcher(lines.length == 0 ? "" : lines[0]);
        if (!requestLine.matches()) {
            errorStatus = BAD_REQUEST;
            return;
        }
        method = requestLine.group(1);
        path = requestLine.group(2);
        int length = 0;
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name = lines[i].substring(0, Math.max(0, colon));
            String value = lines[i].substring(colon + 1);
            if (!HEADER_NAME.matcher(name).matches() || !isValue(value) || name.equalsIgnoreCase("transfer-encoding")) {
                errorStatus = BAD_REQUEST; // no request here needs a chunked body
                return;
            }
            if (name.equalsIgnoreCase("content-length")) {
                String digits = value.strip();
                length = LENGTH.matcher(digits).matches() ? Integer.parseInt(digits) : -1;
            }
        }
        errorStatus = length < 0 ? BAD_REQUEST : length > MAX_BYTES ? TOO_LARGE : 0;
        bodyBytesLeft = Math.max(0, length);
    }

    /** Whether a header may have this value: RFC 9110 rules out these three characters. */
    private static boolean isValue(String text) {
        return text.indexOf('\r') < 0 && text.indexOf('\n') < 0 && text.indexOf('\0') < 0;
    }

    /** The HTTP status with which an invalid request is answered; 0 for a valid one. */
    int errorStatus() {
        return errorStatus;
    }

    String method() {
        return method;
    }

    /** The path without its query string. */
    String path() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    static byte[] response(int status, String body) {
        String reason = switch (status) {
            case 200 -> "OK";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 409 -> "Conflict";
            case TOO_LARGE -> "Content Too Large";
            case HEAD_TOO_LARGE -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 503 -> "Service Unavailable";
            default -> "Bad Request";
        };
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + ' ' + reason + "\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
                + "Content-Length: " + bytes.length + "\r\nConnection: close\r\n\r\n";
        byte[] response = new byte[head.length() + bytes.length];
        System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, response, 0, head.length());
        System.arraycopy(bytes, 0, response, head.length(), bytes.length);
        return response;
    }
}
