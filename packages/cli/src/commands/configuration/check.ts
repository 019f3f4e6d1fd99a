/** `damaskvale configuration check`. */
import { compareConfigurations, findConfigurationIssues, formatIssues, type Issue } from "@damaskvale/core";
import { Args, Command, Flags } from "@oclif/core";
import {
    exitCodeOfFindings,
    formatConfigurationDifference,
    formatFinding,
    safeReadConfigurationFile,
} from "../../configurationfile.js";
import { exitCodes } from "../../exitcodes.js";

/** Checks a configuration before it is published. */
export default class ConfigurationCheck extends Command {
    static override summary =
        "Checks a configuration before it is published, without calling a daemon: errors, entries that never match, limits that contradict each other, and what it changes.";
    static override enableJsonFlag = true;
    static override examples = [
        "<%= config.bin %> <%= command.id %> next.json",
        "<%= config.bin %> <%= command.id %> next.json --current inforce.json --json",
    ];
    static override args = { file: Args.string({ description: "Configuration as it is published.", required: true }) };
    static override flags = { current: Flags.string({ description: "File with the version in force." }) };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(ConfigurationCheck);
        const checked = safeReadConfigurationFile(args.file);
        const current = flags.current === undefined ? undefined : safeReadConfigurationFile(flags.current);
        if (checked.err || current?.err) {
            return this.reportUnreadable([
                ...checked.err ? checked.val : [],
                ...current?.err ? current.val : [],
            ]);
        }
        const findings = findConfigurationIssues(checked.val, current?.val.version);
        const differences = current === undefined ? [] : compareConfigurations(current.val, checked.val);
        process.exitCode = exitCodeOfFindings(findings);
        findings.forEach(finding => this.log(formatFinding(finding)));
        differences.forEach(difference => this.log(formatConfigurationDifference(difference)));
        if (findings.length === 0) {
            this.log(`${args.file} has no findings.`);
        }
        return { exit: process.exitCode, version: checked.val.version, findings, differences };
    }

    private reportUnreadable(issues: readonly Issue[]): unknown {
        process.exitCode = exitCodes.invalidInput;
        if (!this.jsonEnabled()) {
            this.logToStderr(formatIssues(issues));
        }
        return { exit: exitCodes.invalidInput, issues };
    }
}
