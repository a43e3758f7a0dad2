package dappleseam;

import dappleseam.control.FleetCommand;
import dappleseam.drill.SimulatorCommand;
import dappleseam.lab.Lab;
import dappleseam.proxy.Serve;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the command line. */
@Command(name = "dappleseam", mixinStandardHelpOptions = true, version = "dappleseam 0.1.0-SNAPSHOT",
        description = "Client-side router for fleets of cache servers.", subcommands = {SimulatorCommand.class, FleetCommand.class, Lab.class, Serve.class},
        synopsisSubcommandLabel = "COMMAND")
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }
}
