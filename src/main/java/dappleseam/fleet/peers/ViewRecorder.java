package dappleseam.fleet.peers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.router.NodeId;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Records changes of the view, one JSON object per line, each with the machine's monotonic clock in ms. Stops at its maximum size or on a write error. */
final class ViewRecorder {
    private static final Logger LOG = System.getLogger(ViewRecorder.class.getName());
    private static final long MAX_BYTES = 64L << 20;

    private JsonGenerator json;
    private OutputStream out;
    private long remainingBytes = MAX_BYTES;

    ViewRecorder(Path file) {
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

    /** Writes the fields of one line. */
    private interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private void writeLine(double nowMs, FieldWriter fieldWriter) {
        if (json == null) {
            return;
        }
        try {
            json.writeStartObject();
            json.writeNumberField("ms", nowMs);
            fieldWriter.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
            remainingBytes -= json.getOutputBuffered();
            json.flush();
            if (remainingBytes <= 0) {
                close();
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "fleet: recording of view changes stops: {0}", e.toString());
            close();
        }
    }

    void started(double nowMs, MemberEntry self) {
        writeLine(nowMs, to -> {
            to.writeStringField("began", self.name().text());
            to.writeNumberField("nonce", self.generation().nonce());
        });
    }

    void memberChanged(double nowMs, MemberEntry previous, MemberEntry updated) {
        if (previous != null && previous.state() == updated.state() && previous.generation().equals(updated.generation())) {
            return; // only the incarnation changed
        }
        writeLine(nowMs, to -> {
            to.writeStringField("saw", updated.name().text());
            to.writeNumberField("nonce", updated.generation().nonce());
            to.writeNumberField("incarnation", updated.incarnation());
            to.writeStringField("state", updated.state().name());
        });
    }

    void statusChanged(double nowMs, MembershipStatus status, int fleetSize) {
        writeLine(nowMs, to -> {
            to.writeStringField("stands", status.kind().name());
            to.writeNumberField("counted", fleetSize);
            to.writeNumberField("missing", status.missing().size());
        });
    }

    /** The process did not run for {@code ms} up to now. */
    void stalled(double nowMs, double ms) {
        writeLine(nowMs, to -> to.writeNumberField("stood_still", ms));
    }

    void fleetSizeChanged(double nowMs, int fleetSize) {
        writeLine(nowMs, to -> to.writeNumberField("counted", fleetSize));
    }

    void shareChanged(double nowMs, double share) {
        writeLine(nowMs, to -> to.writeNumberField("share", share));
    }

    /** {@code FAILS}, {@code CLEARED}: this process's own observation of a cache from now on; {@code CONVICTED}: the verdict of the other members. */
    void verdictChanged(double nowMs, NodeId cache, String verdict) {
        writeLine(nowMs, to -> {
            to.writeStringField("cache", Long.toHexString(cache.value()));
            to.writeStringField("verdict", verdict);
        });
    }

    void duplicateSeen(double nowMs, MemberEntry duplicate) {
        writeLine(nowMs, to -> to.writeNumberField("twin", duplicate.generation().nonce()));
    }

    void leaseHeld(double nowMs, LeaseName lease, Token token, double untilMs) {
        writeLine(nowMs, to -> {
            to.writeStringField("held", lease.text());
            to.writeNumberField("round", token.round());
            to.writeNumberField("until", untilMs);
        });
    }

    void leaseLost(double nowMs, LeaseName lease, Token token) {
        writeLine(nowMs, to -> {
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
