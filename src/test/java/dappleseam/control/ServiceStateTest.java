package dappleseam.control;

import static dappleseam.control.ServiceState.Phase.ENDING;
import static dappleseam.control.ServiceState.Phase.IN_SERVICE;
import static dappleseam.control.ServiceState.Phase.OUT_OF_SERVICE;
import static dappleseam.control.ServiceState.Phase.STARTING;
import static dappleseam.control.ServiceState.Phase.STARTING_OUT_OF_SERVICE;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ServiceStateTest {
    /** What can happen to the state. */
    private enum Event {
        OUT(ServiceState::takeOutOfService), IN(ServiceState::returnToService), LISTEN(ServiceState::startedListening), END(ServiceState::end);

        final Consumer<ServiceState> action;

        Event(Consumer<ServiceState> action) {
            this.action = action;
        }
    }

    /** For each phase, events that lead there, and the phases that follow on OUT, IN, LISTEN and END. */
    private static final Map<ServiceState.Phase, List<Event>> PATHS = Map.of(STARTING, List.of(), STARTING_OUT_OF_SERVICE, List.of(Event.OUT),
            IN_SERVICE, List.of(Event.LISTEN), OUT_OF_SERVICE, List.of(Event.LISTEN, Event.OUT), ENDING, List.of(Event.END));
    private static final Map<ServiceState.Phase, List<ServiceState.Phase>> NEXT = Map.of(
            STARTING, List.of(STARTING_OUT_OF_SERVICE, STARTING, IN_SERVICE, ENDING),
            STARTING_OUT_OF_SERVICE, List.of(STARTING_OUT_OF_SERVICE, STARTING, OUT_OF_SERVICE, ENDING),
            IN_SERVICE, List.of(OUT_OF_SERVICE, IN_SERVICE, IN_SERVICE, ENDING),
            OUT_OF_SERVICE, List.of(OUT_OF_SERVICE, IN_SERVICE, OUT_OF_SERVICE, ENDING),
            ENDING, List.of(ENDING, ENDING, ENDING, ENDING));

    private static ServiceState in(ServiceState.Phase phase) {
        ServiceState state = new ServiceState();
        PATHS.get(phase).forEach(event -> event.action.accept(state));
        assertThat(state.phase()).isEqualTo(phase);
        return state;
    }

    /** Every event, and every two in a row, in every phase. */
    @ParameterizedTest
    @EnumSource
    void eventsInEachPhase(ServiceState.Phase phase) {
        for (Event first : Event.values()) {
            ServiceState.Phase afterFirst = NEXT.get(phase).get(first.ordinal());
            for (Event second : Event.values()) {
                ServiceState state = in(phase);
                first.action.accept(state);
                assertThat(state.phase()).isEqualTo(afterFirst);
                second.action.accept(state);
                assertThat(state.phase()).isEqualTo(NEXT.get(afterFirst).get(second.ordinal()));
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void clientsAreTakenInServiceOnlyAndCallsAreRefusedAtTheEnd(ServiceState.Phase phase) {
        assertThat(in(phase).takesClients()).isEqualTo(phase == IN_SERVICE);
        assertThat(in(phase).isOutOfService()).isEqualTo(phase == OUT_OF_SERVICE || phase == STARTING_OUT_OF_SERVICE);
        assertThat(in(phase).takeOutOfService()).isEqualTo(phase != ENDING);
        assertThat(in(phase).returnToService()).isEqualTo(phase != ENDING);
    }

    /** Guards against a call that is lost, or that revives an ending process, as the start, a signal and calls come on threads of their own. */
    @Test
    void concurrentEventsLoseNoCall() throws Exception {
        SplittableRandom random = new SplittableRandom(65);
        for (int round = 0; round < 2000; round++) {
            ServiceState state = new ServiceState();
            boolean ends = random.nextInt(4) == 0;
            boolean[] lastAccepted = new boolean[1];
            Event lastCall = random.nextBoolean() ? Event.OUT : Event.IN;
            List<Thread> threads = new ArrayList<>();
            threads.add(new Thread(state::startedListening));
            threads.add(new Thread(() -> {
                state.takeOutOfService();
                state.returnToService();
                lastAccepted[0] = lastCall == Event.OUT ? state.takeOutOfService() : state.returnToService();
            }));
            if (ends) {
                threads.add(new Thread(state::end));
            }
            threads.forEach(Thread::start);
            for (Thread thread : threads) {
                thread.join();
            }
            assertThat(lastAccepted[0] || ends).isTrue();
            assertThat(state.phase()).isEqualTo(ends ? ENDING : lastCall == Event.OUT ? OUT_OF_SERVICE : IN_SERVICE);
        }
    }
}
