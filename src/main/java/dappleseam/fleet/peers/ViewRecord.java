package dappleseam.fleet.peers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.membership.Standing;
import dappleseam.router.NodeId;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Records changes of the view, one JSON object per line, each with the machine's monotonic clock in ms. Stops at its maximum size or on a write error. */
final class ViewRecord {
    private static final Logger LOG = System.getLogger(ViewRecord.class.getName());
    private static final long MOST_BYTES = 64L << 20;

    private JsonGenerator json;
    private OutputStream out;
    private long left = MOST_BYTES;

    ViewRecord(Path file) {
        if (file != null) {
            try {
                out = Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                json = new JsonFactory().createGenerator(out);
                json.setRootValueSeparator(null);
            } catch (IOException e) {
                LOG.log(Level.WARNING, "fleet: changes of the view are not recorded: {0}", e.toString());
            }
        }
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private void line(double nowMs, Fields fields) {
        if (json == null) {
            return;
        }
        try {
            json.writeStartObject();
            json.writeNumberField("ms", nowMs);
            fields.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
            left -= json.getOutputBuffered();
            json.flush();
            if (left <= 0) {
                close();
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "fleet: recording of view changes stops: {0}", e.toString());
            close();
        }
    }

    void began(double nowMs, Notice self) {
        line(nowMs, to -> {
            to.writeStringField("began", self.name().text());
            to.writeNumberField("nonce", self.life().nonce());
        });
    }

    void saw(double nowMs, Notice before, Notice now) {
        if (before != null && before.state() == now.state() && before.life().equals(now.life())) {
            return; // only the incarnation changed
        }
        line(nowMs, to -> {
            to.writeStringField("saw", now.name().text());
            to.writeNumberField("nonce", now.life().nonce());
            to.writeNumberField("incarnation", now.incarnation());
            to.writeStringField("state", now.state().name());
        });
    }

    void stands(double nowMs, Standing standing, int counted) {
        line(nowMs, to -> {
            to.writeStringField("stands", standing.kind().name());
            to.writeNumberField("counted", counted);
            to.writeNumberField("missing", standing.missing().size());
        });
    }

    /** The process did not run for {@code ms} up to now. */
    void stoodStill(double nowMs, double ms) {
        line(nowMs, to -> to.writeNumberField("stood_still", ms));
    }

    void counts(double nowMs, int counted) {
        line(nowMs, to -> to.writeNumberField("counted", counted));
    }

    void takes(double nowMs, double share) {
        line(nowMs, to -> to.writeNumberField("share", share));
    }

    /** {@code FAILS}, {@code CLEARED}: this process's own observation of a cache from now on; {@code CONVICTED}: the verdict of the other members. */
    void says(double nowMs, NodeId cache, String verdict) {
        line(nowMs, to -> {
            to.writeStringField("cache", Long.toHexString(cache.value()));
            to.writeStringField("verdict", verdict);
        });
    }

    void twin(double nowMs, Notice twin) {
        line(nowMs, to -> to.writeNumberField("twin", twin.life().nonce()));
    }

    void held(double nowMs, LeaseName lease, Token token, double untilMs) {
        line(nowMs, to -> {
            to.writeStringField("held", lease.text());
            to.writeNumberField("round", token.round());
            to.writeNumberField("until", untilMs);
        });
    }

    void lost(double nowMs, LeaseName lease, Token token) {
        line(nowMs, to -> {
            to.writeStringField("lost", lease.text());
            to.writeNumberField("round", token.round());
        });
    }

    void close() {
        try {
            if (json != null) {
                json.close();
                out.close();
            }
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
        json = null;
    }
}
