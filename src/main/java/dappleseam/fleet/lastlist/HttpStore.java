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
 * A resource behind HTTP (RFC 9110) that keeps one object: PUT replaces it where its headers {@code Fencing-Token} and {@code Write-Number} come after
 * those of the object that is there, looking and replacing in one step, and is answered 409 with the token that is there where they do not; GET gives it. Any thread
 * may wait here for as long as {@link #LONGEST_MS}.
 */
public final class HttpStore implements ListStore {
    static final String TOKEN = "Fencing-Token";
    static final String NUMBER = "Write-Number";
    /** Time in ms for one step of a call, and for reading one answer: a start may wait for it. */
    private static final int STEP_MS = 300;
    private static final double LONGEST_MS = 1000;
    private static final int LONGEST = 4 << 20;
    private static final int PIECE = 16 << 10;
    private static final double NANOS_PER_MS = 1e6;

    private final URI where;

    /** {@code where}: http, with a host. */
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
        call.setRequestProperty("Connection", "close"); // one kept from before a restart of the store would fail the next call
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
            call.setFixedLengthStreamingMode(body.size()); // nor is it ever sent a second time by itself
            call.getOutputStream().write(body.toByteArray());
            int status = call.getResponseCode();
            if (status == HttpURLConnection.HTTP_CONFLICT) {
                throw new FencedException(seen(call));
            }
            if (status / 100 != 2) {
                throw new IOException("the store answered " + status);
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
            throw new IOException("the store refused without a token");
        }
    }

    @Override
    public Stored read() throws IOException {
        HttpURLConnection call = call("GET");
        try {
            int status = call.getResponseCode();
            if (status != HttpURLConnection.HTTP_OK) {
                throw new IOException("the store answered " + status);
            }
            return Stored.of(Json.read(body(call.getInputStream())));
        } catch (IllegalArgumentException e) {
            throw new IOException("the store holds something else: " + e.getMessage());
        } finally {
            call.disconnect();
        }
    }

    /** Guards a start against an answer without end, and one that comes by drops. */
    private static byte[] body(InputStream in) throws IOException {
        double until = System.nanoTime() / NANOS_PER_MS + LONGEST_MS;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] piece = new byte[PIECE];
        for (int read = in.read(piece); read >= 0; read = in.read(piece)) {
            body.write(piece, 0, read);
            if (body.size() > LONGEST || System.nanoTime() / NANOS_PER_MS > until) {
                throw new IOException("the store's answer is too long, or too slow");
            }
        }
        return body.toByteArray();
    }
}
