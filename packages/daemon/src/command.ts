/** Command line of the daemon: flags, help, `--check-settings`, and signals. */
import { formatIssues } from "@damaskvale/core";
import { Command, Flags } from "@oclif/core";
import {
    describeSetting,
    environmentName,
    flagName,
    safeParseSettings,
    settingNames,
    type Settings,
} from "./settings.js";
import { startDaemon } from "./wire.js";

/** Exit code for invalid settings. */
export const EXIT_INVALID_SETTINGS = 2;
/** Exit code of a shutdown that cut off requests in progress. */
export const EXIT_REQUESTS_CUT_OFF = 3;

const settingFlags = Object.fromEntries(settingNames.map(name => {
    const { description, example } = describeSetting(name);
    const summary = `${description} [${environmentName(name)}, for example ${example}]`;
    return [flagName(name), Flags.string({ description: summary })];
}));

/** Runs one damaskvale daemon until it receives SIGTERM or SIGINT. */
export default class DaemonCommand extends Command {
    static override description =
        "Runs one damaskvale daemon on an entry host. Every setting is a flag and an environment "
        + "variable; flags go first. SIGTERM drains and stops; a second signal stops at once.";

    static override examples = [
        "<%= config.bin %> --name pta-hall-a-1 --data-centre pta-hall-a --listen 127.0.0.1:8080 --peer-listen 127.0.0.1:8090 "
        + "--platform http://127.0.0.1:7000 --operator-tokens anna:TOKEN --peer-secret SECRET --target-credential CREDENTIAL",
        "<%= config.bin %> --check-settings",
    ];

    static override flags = {
        ...settingFlags,
        "check-settings": Flags.boolean({ description: "Reports all findings in the settings and exits." }),
    };

    /** Starts the daemon, or only checks the settings; resolves once the daemon serves. */
    async run(): Promise<void> {
        const { flags } = await this.parse(DaemonCommand);
        const checkOnly = flags["check-settings"] === true;
        const values = Object.fromEntries(
            Object.entries(flags).filter((entry): entry is [string, string] => typeof entry[1] === "string"),
        );
        const settings = safeParseSettings(values, process.env);
        if (settings.err) {
            this.logToStderr(formatIssues(settings.val));
            this.exit(EXIT_INVALID_SETTINGS);
        }
        if (checkOnly) {
            this.log("The settings have no findings.");
            return;
        }
        await runUntilSignal(settings.val);
    }
}

async function runUntilSignal(settings: Settings): Promise<void> {
    const daemon = await startDaemon(settings);
    let signals = 0;
    const onSignal = (): void => {
        signals += 1;
        if (signals > 1) {
            daemon.cutOff();
            return;
        }
        void daemon.drain().then(cut => process.exit(cut.length === 0 ? 0 : EXIT_REQUESTS_CUT_OFF));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}
