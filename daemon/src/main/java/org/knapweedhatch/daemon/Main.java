package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.ini.FileFault;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.JsonLogHandler;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.settings.FrontSettings;
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

    /** Environment variable that names the settings file where no option does. */
    private static final String SETTINGS_VARIABLE = "KNAPWEEDHATCH_CONFIG";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int FAULTY_SETTINGS = 1;
    private static final int WRONG_ARGUMENTS = 2;
    /** Exit code where an address cannot be bound. */
    static final int CANNOT_BIND = 3;

    @Option(name = "--settings", usage = "settings file (INI); " + SETTINGS_VARIABLE + " names it otherwise")
    private Path settingsFile;

    @Option(name = "--check-settings", usage = "check the settings file, print every fault, and end")
    private boolean checkOnly;

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
        main.start();
    }

    private void start() {
        Path path = Optional.ofNullable(settingsFile)
                .or(() -> Optional.ofNullable(System.getenv(SETTINGS_VARIABLE)).map(Path::of))
                .orElse(null);
        if (path == null) {
            System.err.println(
                    "knapweedhatchd: neither --settings nor " + SETTINGS_VARIABLE + " names a settings file");
            System.exit(WRONG_ARGUMENTS);
        }
        IniFile file = parsed(path);
        if (FrontSettings.fits(file)) {
            FrontSettings settings = valid(FrontSettings.check(file));
            if (!checkOnly) {
                runFront(settings);
            }
        } else {
            Settings settings = valid(Settings.check(file));
            if (!checkOnly) {
                run(settings);
            }
        }
    }

    private static IniFile parsed(Path path) {
        try {
            return valid(IniFile.parse(path.toString(), Files.readAllBytes(path)));
        } catch (IOException e) {
            FaultList faults = FaultList.of(path.toString());
            faults.add(0, "", "cannot be read: " + e.getClass().getSimpleName());
            return valid(faults.checked());
        }
    }

    private static <T> T valid(org.knapweedhatch.ini.Checked<T> checked) {
        List<FileFault> faults = checked.faults();
        if (!faults.isEmpty()) {
            faults.forEach(System.err::println);
            System.exit(FAULTY_SETTINGS);
        }
        return checked.orThrow();
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
            Runtime.getRuntime().addShutdownHook(new Thread(host::leave, "leave"));
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.atSevere().log("daemon: cannot start: %s", e.getMessage());
            System.exit(CANNOT_BIND);
        }
    }

    private static void runFront(FrontSettings settings) {
        EventLog log = EventLog.start(
                new FileOutputStream(FileDescriptor.out), settings.host().name(), TimeSource.system());
        Logger root = LogManager.getLogManager().getLogger("");
        for (var handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(JsonLogHandler.of(log));
        try {
            FrontHost host = FrontHost.start(settings, log, TimeSource.system());
            CountDownLatch stopped = new CountDownLatch(1);
            sun.misc.Signal.handle(new sun.misc.Signal("TERM"), signal -> stopped.countDown());
            sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> {});
            stopped.await();
            host.leave();
            log.close();
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("daemon: cannot start: %s", e.getMessage());
            log.close();
            System.exit(CANNOT_BIND);
        }
    }
}
