package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.LogManager;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FileFault;
import org.knapweedhatch.platform.http.HttpCaller;
import org.knapweedhatch.platform.http.HttpPlatform;
import org.knapweedhatch.settings.Settings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The program {@code knapweedhatchd}: one entry host until SIGTERM, which is a graceful shutdown.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 where the settings are faulty, 2 for wrong arguments, 3 where an
 * address cannot be bound.
 */
public final class Main {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int FAULTY_SETTINGS = 1;
    private static final int WRONG_ARGUMENTS = 2;
    private static final int CANNOT_BIND = 3;

    @Option(name = "--settings", required = true, usage = "settings file (INI)")
    private Path settingsFile;

    private Main() {}

    /** Starts the daemon. */
    public static void main(String[] args) {
        configureLogs();
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("knapweedhatchd: " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(WRONG_ARGUMENTS);
        }
        Checked<Settings> settings = Settings.read(main.settingsFile);
        if (!settings.isValid()) {
            for (FileFault fault : settings.faults()) {
                System.err.println(fault);
            }
            System.exit(FAULTY_SETTINGS);
        }
        run(settings.orThrow());
    }

    private static void configureLogs() {
        if (System.getProperty("java.util.logging.config.file") != null) {
            return;
        }
        try (InputStream logging = Main.class.getResourceAsStream("/knapweedhatchd-logging.properties")) {
            LogManager.getLogManager().readConfiguration(logging);
        } catch (IOException e) {
            System.err.println("knapweedhatchd: the default logging could not be set up: " + e.getMessage());
        }
    }

    private static void run(Settings settings) {
        URI platform = URI.create("http://" + settings.platform());
        HttpCaller http = HttpCaller.create();
        try {
            EntryHost host = EntryHost.start(
                    settings, HttpPlatform.create(http, platform, settings.credential()), TimeSource.system());
            leaveOnTermination(host);
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.atSevere().log("daemon: cannot start: %s", e.getMessage());
            System.exit(CANNOT_BIND);
        }
    }

    private static void leaveOnTermination(EntryHost host) {
        Thread leave = new Thread(host::leave, "leave");
        Runtime.getRuntime().addShutdownHook(leave);
    }
}
