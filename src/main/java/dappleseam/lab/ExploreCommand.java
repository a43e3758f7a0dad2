package dappleseam.lab;

import dappleseam.lab.fleet.MembershipExploration;
import dappleseam.lab.fleet.PlantedFault;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Explores every order of events among three members of a fleet, up to a depth. */
@Command(name = "explore", mixinStandardHelpOptions = true, description = "Explore every order of events among three members; exit status 1 if a guarantee is violated.")
final class ExploreCommand implements Callable<Integer> {
    @Option(names = "--depth", defaultValue = "6", description = "Maximum length of a sequence of events (default: 6).")
    private int depth;

    @Option(names = "--faults", defaultValue = "2", description = "Maximum number of losses, duplicates, kills and stalls in a sequence (default: 2).")
    private int faults;

    @Option(names = "--early", defaultValue = "3", description = "How many of the three members run from the beginning; the others start later or never (default: 3).")
    private int early;

    @Option(names = "--planted", defaultValue = "NONE", description = "Protection to disable: ${COMPLETION-CANDIDATES}.")
    private PlantedFault planted;

    @Override
    public Integer call() {
        MembershipExploration.Result found = new MembershipExploration(early, depth, faults, true, planted).run();
        System.out.printf("early %d, depth %d, faults %d, planted %s: %d states on %d paths, %s%n", early, depth, faults, planted, found.states(), found.paths(),
                found.violation() == null ? "no violation" : found.violation());
        return found.violation() == null ? 0 : 1;
    }
}
