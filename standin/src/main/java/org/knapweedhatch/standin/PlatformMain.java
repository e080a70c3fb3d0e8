package org.knapweedhatch.standin;

import org.knapweedhatch.platform.MemoryPlatform;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs a platform stand-in until the process is ended. */
public final class PlatformMain {

    private static final int USAGE = 2;

    @Option(name = "--ip", usage = "IP number to listen at")
    private String ip = "127.0.0.1";

    @Option(name = "--port", usage = "TCP port to listen at")
    private int port = 8500;

    @Option(name = "--token", usage = "token that clients must show")
    private String token = "demo-token";

    private PlatformMain() {}

    /** Starts the stand-in; exits with 2 where the arguments are wrong. */
    public static void main(String[] args) {
        PlatformMain main = new PlatformMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE);
        }
        PlatformStandIn standIn = PlatformStandIn.start(main.ip, main.port, main.token, MemoryPlatform.create());
        System.out.println("platform stand-in: listens at " + standIn.uri());
    }
}
