/** Reads configuration files as operators publish them, and formats what a check finds. */
import {
    type ConfigurationDifference,
    type ConfigurationFinding,
    type Issue,
    issue,
    type RelayConfiguration,
} from "@damaskvale/core";
import { safeParseConfiguration } from "@damaskvale/platform/dist/configuration.js";
import { readFileSync } from "node:fs";
import { Err, type Result } from "ts-results";
import { type ExitCode, exitCodes } from "./exitcodes.js";

/** Reads a configuration file, or returns all issues. */
export function safeReadConfigurationFile(file: string): Result<RelayConfiguration, readonly Issue[]> {
    try {
        return safeParseConfiguration(readFileSync(file))
            .mapErr(issues => issues.map(found => ({ ...found, place: { file } })));
    }
    catch (error) {
        return Err([issue("unreadable_file", [], (error as Error).message, { file })]);
    }
}

/** Returns the exit code: errors are invalid input, warnings alone a failure of the check. Differences are neither. */
export function exitCodeOfFindings(findings: readonly ConfigurationFinding[]): ExitCode {
    if (findings.some(({ severity }) => severity === "error")) {
        return exitCodes.invalidInput;
    }
    return findings.length > 0 ? exitCodes.failure : exitCodes.done;
}

/** Formats a finding as a line of text. */
export function formatFinding({ severity, code, entry, message }: ConfigurationFinding): string {
    return `${severity}: ${entry}: ${message} (${code})`;
}

/** Formats a difference as a line of text. */
export function formatConfigurationDifference({ kind, entry, fields }: ConfigurationDifference): string {
    const marks = { added: "+", removed: "-", changed: "~" } as const;
    const changes = fields.map(({ field, before, after }) => `${field}: ${textOf(before)} -> ${textOf(after)}`);
    return [`${marks[kind]} ${entry}`, ...changes.length === 0 ? [] : [changes.join(", ")]].join(" ");
}

function textOf(value: unknown): string {
    return value === undefined ? "(none)" : JSON.stringify(value);
}
