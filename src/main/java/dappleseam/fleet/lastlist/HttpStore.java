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
    static final String TOKEN = "Fencing-Token";
    static final String NUMBER = "Write-Number";
    /** Time-out in ms of connecting and of each read. Both limits are short because the start of a proxy may wait for them. */
    private static final int STEP_MS = 300;
    /** Maximum time in ms for reading one answer. */
    private static final double LONGEST_MS = 1000;
    private static final int LONGEST = 4 << 20;
    private static final int PIECE = 16 << 10;
    private static final double NANOS_PER_MS = 1e6;

    private final URI where;

    /** {@code uri}: an http URI with a host. */
    public HttpStore(URI where) {
        this.where = where;
    }

    private HttpURLConnection call(String method) throws IOException {
        HttpURLConnection call = (HttpURLConnection) where.toURL().openConnection();
        call.setRequestMethod(method);
        call.setConnectTimeout(STEP_MS);
        call.setReadTimeout(STEP_MS);
        call.setInstanceFollowRedirects(false);
        call.setUseCaches(false);
        call.setRequestProperty("Connection", "close"); // a kept-alive connection would fail the next call after a restart of the store
        return call;
    }

    @Override
    public void write(Token token, long number, double nowMs, NodeList list) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(body)) {
            ListStore.write(json, token, number, nowMs, list);
        }
        HttpURLConnection call = call("PUT");
        try {
            call.setRequestProperty("Content-Type", "application/json");
            call.setRequestProperty(TOKEN, token.text());
            call.setRequestProperty(NUMBER, Long.toString(number));
            call.setDoOutput(true);
            call.setFixedLengthStreamingMode(body.size()); // also prevents HttpURLConnection from repeating the request
            call.getOutputStream().write(body.toByteArray());
            int status = call.getResponseCode();
            if (status == HttpURLConnection.HTTP_CONFLICT) {
                throw new FencedException(seen(call));
            }
            if (status / 100 != 2) {
                throw new IOException("the store answered with status " + status);
            }
        } finally {
            call.disconnect();
        }
    }

    private static Token seen(HttpURLConnection call) throws IOException {
        String told = call.getHeaderField(TOKEN);
        try {
            return Token.parse(told == null ? "" : told);
        } catch (IllegalArgumentException e) {
            throw new IOException("the store answered with status 409 without a valid token");
        }
    }

    @Override
    public Stored read() throws IOException {
        HttpURLConnection call = call("GET");
        try {
            int status = call.getResponseCode();
            if (status != HttpURLConnection.HTTP_OK) {
                throw new IOException("the store answered with status " + status);
            }
            return Stored.of(Json.read(body(call.getInputStream())));
        } catch (IllegalArgumentException e) {
            throw new IOException("the store's content is not a list: " + e.getMessage());
        } finally {
            call.disconnect();
        }
    }

    /** Reads the answer, limited in size and time, so that an endless or very slow answer does not block a start. */
    private static byte[] body(InputStream in) throws IOException {
        double until = System.nanoTime() / NANOS_PER_MS + LONGEST_MS;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] piece = new byte[PIECE];
        for (int read = in.read(piece); read >= 0; read = in.read(piece)) {
            body.write(piece, 0, read);
            if (body.size() > LONGEST || System.nanoTime() / NANOS_PER_MS > until) {
                throw new IOException("the store's answer is too long or too slow");
            }
        }
        return body.toByteArray();
    }
}
