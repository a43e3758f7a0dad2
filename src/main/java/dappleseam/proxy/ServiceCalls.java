package dappleseam.proxy;

import dappleseam.control.ServiceControl;
import dappleseam.control.ServiceState;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;

/**
 * Carries out operators' service calls. Two processes on one address are one proxy to its clients, so a call to either holds for both: it is written to a
 * file, which the other process follows, and a process that takes over begins with. The state ends with the last process that is left to serve.
 */
final class ServiceCalls implements ServiceControl {
    private static final Logger LOG = System.getLogger(ServiceCalls.class.getName());

    private final ServiceState state;
    private final ServiceFile file;
    private final AddressLocks locks;
    private final Runnable onChange;
    private boolean wasShared;
    /** The file could not be written, and does not tell what is in force here. */
    private boolean isFileBehind;
    /** What the file told when it was last written, or could first not be. */
    private Optional<Boolean> lastTold = Optional.empty();

    /** {@code onChange} runs after each change, on the thread that made it. */
    ServiceCalls(ServiceState state, ServiceFile file, AddressLocks locks, Runnable onChange) {
        this.state = state;
        this.file = file;
        this.locks = locks;
        this.onChange = onChange;
    }

    /** Begins as the other process on the address is, or in service if there is none. */
    synchronized void begin() {
        if (locks.isShared()) {
            follow();
        } else {
            endInFile();
        }
    }

    @Override
    public boolean isReady() {
        return state.takesClients();
    }

    @Override
    public Result takeOutOfService() {
        return change(true);
    }

    @Override
    public Result returnToService() {
        return change(false);
    }

    private synchronized Result change(boolean out) {
        if (state.phase() == ServiceState.Phase.ENDING) {
            return Result.ENDING;
        }
        boolean wasBehind = isFileBehind;
        if (!writeFile(out) && locks.isShared()) {
            isFileBehind = wasBehind; // nothing has changed here
            return Result.OTHER_PROCESS_NOT_TOLD;
        }
        return apply(out) ? Result.ACCEPTED : Result.ENDING;
    }

    private boolean apply(boolean out) {
        boolean accepted = out ? state.takeOutOfService() : state.returnToService();
        if (accepted) {
            onChange.run();
            LOG.log(Level.INFO, out ? "out of service: clients are sent away" : "in service: clients are taken");
        }
        return accepted;
    }

    /** Does what was called at the other process, and repeats a write that failed. To be called at short intervals. */
    synchronized void follow() {
        if (state.phase() == ServiceState.Phase.ENDING) {
            return;
        }
        boolean isShared = locks.isShared();
        if (isFileBehind || isShared || wasShared) { // once more after the other process has ended
            Optional<Boolean> told = readFile();
            if (isFileBehind && told.equals(lastTold)) { // else the other process was called later
                writeFile(state.isOutOfService());
            } else {
                isFileBehind = false;
                told.filter(out -> out != state.isOutOfService()).ifPresent(this::apply);
            }
        }
        wasShared = isShared;
    }

    /** What the file tells; nothing if it is not there yet, or damaged. */
    private Optional<Boolean> readFile() {
        try {
            return Optional.of(file.readOutOfService());
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "service file: {0}", e.toString());
            return Optional.empty();
        }
    }

    /** This process ends and no other one takes its clients: the next one begins in service. */
    synchronized void endInFile() {
        if (readFile().orElse(false)) {
            writeFile(false);
        }
    }

    /** Returns whether the file has been written; otherwise {@link #follow} tries again. */
    private boolean writeFile(boolean out) {
        try {
            file.write(out);
            isFileBehind = false;
            lastTold = Optional.of(out);
        } catch (IOException | RuntimeException e) {
            if (!isFileBehind) {
                LOG.log(Level.WARNING, "another process on this address would not know whether clients are sent away: {0}", e.toString());
                lastTold = readFile();
            }
            isFileBehind = true;
        }
        return !isFileBehind;
    }
}
