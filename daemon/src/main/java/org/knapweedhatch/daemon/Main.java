package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.ini.Checked;
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
import sun.misc.Signal;

/**
 * The program {@code knapweedhatchd}: one entry host until SIGTERM, which is a graceful shutdown.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 where the settings are faulty, 2 for wrong arguments, 3 where an
 * address cannot be bound.
 */
public final class Main {

    /** Environment variable that names the settings file where no option does. */
    private static final String SETTINGS_VARIABLE = "KNAPWEEDHATCH_CONFIG";

    /** Signal that asks for a graceful shutdown. */
    private static final String TERMINATE = "TERM";
    /** Signal that says that the settings file has changed. */
    private static final String RELOAD = "HUP";
    /** Time between two looks at the settings file, which may change without a signal. */
    private static final Duration SETTINGS_PERIOD = Duration.ofSeconds(1);

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
        IniFile file = valid(IniFile.read(path));
        if (FrontSettings.fits(file)) {
            FrontSettings settings = valid(FrontSettings.check(file));
            if (!checkOnly) {
                runFront(path, settings);
            }
        } else {
            Settings settings = valid(Settings.check(file));
            if (!checkOnly) {
                run(settings);
            }
        }
    }

    private static <T> T valid(Checked<T> checked) {
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

    private static void runFront(Path path, FrontSettings settings) {
        EventLog log = EventLog.start(
                new FileOutputStream(FileDescriptor.out), settings.host().name(), TimeSource.system());
        logTo(log);
        BlockingQueue<String> signals = new LinkedBlockingQueue<>();
        Stream.of(TERMINATE, RELOAD).forEach(name -> Signal.handle(new Signal(name), signal -> signals.add(name)));
        try {
            FrontHost host = FrontHost.start(settings, log, TimeSource.system());
            SettingsFollower follower = SettingsFollower.of(path, settings, log, host::terms);
            for (String signal = ""; !TERMINATE.equals(signal); ) {
                signal = signals.poll(SETTINGS_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
                if (RELOAD.equals(signal)) {
                    follower.reload("SIG" + RELOAD);
                } else if (signal == null) {
                    follower.poll();
                }
            }
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

    private static void logTo(EventLog log) {
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(JsonLogHandler.of(log));
    }
}
