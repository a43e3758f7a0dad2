package dappleseam.lab;

import dappleseam.lab.fleet.MembershipExploration;
import dappleseam.lab.fleet.PlantedFault;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Every order of events of three members, to a depth. */
@Command(name = "explore", mixinStandardHelpOptions = true, description = "Play every order of events of three members; status 1 where one breaks a promise.")
final class ExploreCommand implements Callable<Integer> {
    @Option(names = "--depth", defaultValue = "6", description = "Events in a row (default: 6).")
    private int depth;

    @Option(names = "--faults", defaultValue = "2", description = "Losses, repeats, deaths and stalls among them, at most (default: 2).")
    private int faults;

    @Option(names = "--early", defaultValue = "3", description = "Members of the three that run at first; the others start later, or never (default: 3).")
    private int early;

    @Option(names = "--planted", defaultValue = "NONE", description = "A defence that is taken out: ${COMPLETION-CANDIDATES}.")
    private PlantedFault planted;

    @Override
    public Integer call() {
        MembershipExploration.Result found = new MembershipExploration(early, depth, faults, true, planted).run();
        System.out.printf("early %d, depth %d, faults %d, planted %s: %d states in %d ways, %s%n", early, depth, faults, planted, found.states(), found.paths(),
                found.violation() == null ? "nothing broken" : found.violation());
        return found.violation() == null ? 0 : 1;
    }
}
