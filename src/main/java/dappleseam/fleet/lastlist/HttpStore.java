package dappleseam.fleet.lastlist;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dappleseam.fleet.lease.Token;
import dappleseam.list.NodeList;
import dappleseam.wire.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;

/**
 * A store behind an HTTP (RFC 9110) resource that holds one object. PUT atomically replaces the object if the request's headers
 * {@code Fencing-Token} and {@code Write-Number} come after those of the stored one, and is answered 409 with the stored token
 * otherwise; GET returns it. Calls may block for {@link #MAX_READ_MS} and a time-out.
 */
public final class HttpStore implements ListStore {
    static final String TOKEN_HEADER = "Fencing-Token";
    static final String NUMBER_HEADER = "Write-Number";
    /** Time-out in ms of connecting and of each read. Both limits are short because the start of a proxy may wait for them. */
    private static final int TIMEOUT_MS = 300;
    /** Maximum time in ms for reading one answer. */
    private static final double MAX_READ_MS = 1000;
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final double NANOS_PER_MS = 1e6;

    private final URI uri;

    /** {@code uri}: an http URI with a host. */
    public HttpStore(URI uri) {
        this.uri = uri;
    }

    private HttpURLConnection connect(String method) throws IOException {
        HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
        connection.setRequestMethod(method);
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        connection.setInstanceFollowRedirects(false);
        connection.setUseCaches(false);
        connection.setRequestProperty("Connection", "close"); // a kept-alive connection would fail the next call after a restart of the store
        return connection;
    }

    @Override
    public void write(Token token, long number, double nowMs, NodeList list) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(body)) {
            ListStore.write(json, token, number, nowMs, list);
        }
        HttpURLConnection connection = connect("PUT");
        try {
            connection.setRequestProperty("Content-Type", "application/json");
            connection.setRequestProperty(TOKEN_HEADER, token.text());
            connection.setRequestProperty(NUMBER_HEADER, Long.toString(number));
            connection.setDoOutput(true);
            connection.setFixedLengthStreamingMode(body.size()); // also prevents HttpURLConnection from repeating the request
            connection.getOutputStream().write(body.toByteArray());
            int status = connection.getResponseCode();
            if (status == HttpURLConnection.HTTP_CONFLICT) {
                throw new FencedException(conflictingToken(connection));
            }
            if (status / 100 != 2) {
                throw new IOException("the store answered with status " + status);
            }
        } finally {
            connection.disconnect();
        }
    }

    private static Token conflictingToken(HttpURLConnection connection) throws IOException {
        String header = connection.getHeaderField(TOKEN_HEADER);
        try {
            return Token.parse(header == null ? "" : header);
        } catch (IllegalArgumentException e) {
            throw new IOException("the store answered with status 409 without a valid token");
        }
    }

    @Override
    public Stored read() throws IOException {
        HttpURLConnection connection = connect("GET");
        try {
            int status = connection.getResponseCode();
            if (status != HttpURLConnection.HTTP_OK) {
                throw new IOException("the store answered with status " + status);
            }
            return Stored.of(Json.read(readBody(connection.getInputStream())));
        } catch (IllegalArgumentException e) {
            throw new IOException("the store's content is not a list: " + e.getMessage());
        } finally {
            connection.disconnect();
        }
    }

    /** Reads the answer, limited in size and time, so that an endless or very slow answer does not block a start. */
    private static byte[] readBody(InputStream in) throws IOException {
        double deadlineMs = System.nanoTime() / NANOS_PER_MS + MAX_READ_MS;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            body.write(buffer, 0, read);
            if (body.size() > MAX_ANSWER_BYTES || System.nanoTime() / NANOS_PER_MS > deadlineMs) {
                throw new IOException("the store's answer is too long or too slow");
            }
        }
        return body.toByteArray();
    }
}
