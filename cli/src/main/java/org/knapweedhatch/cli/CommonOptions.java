package org.knapweedhatch.cli;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** The options that every command takes; a flag goes before the settings file. */
final class CommonOptions {

    @Option(name = "--settings", metaVar = "FILE", usage = "settings file in INI")
    String settings;

    @Option(name = "--platform", metaVar = "IP:PORT", usage = "address of the platform")
    String platform;

    @Option(name = "--token", metaVar = "TOKEN", usage = "token that the platform asks for")
    String token;

    @Option(name = "--host", metaVar = "IP:PORT", usage = "entry host to ask; may be given several times")
    List<String> hosts = new ArrayList<>();

    @Option(name = "--json", usage = "print one JSON document")
    boolean json;

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
    boolean help;
}
