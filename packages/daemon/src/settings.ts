/** Settings of the daemon. One schema defines types, validation, flags, environment variables and documentation. */
import { type Issue, issue, IssuesError, issuesFromZod } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";

/** Description of a setting in the documentation and the command-line help. */
export interface SettingDescription {
    readonly description: string;
    readonly example: string;
    /** A secret is never printed. */
    readonly secret?: boolean;
}

const address = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, "must be IP:PORT");
const httpUrl = z.url({ protocol: /^https?$/ });
const daemonName = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be a lower-case name");
const operatorToken = z.string().regex(/^[a-z0-9][a-z0-9-]*:\S{16,}$/, "must be NAME:TOKEN with 16 characters or more")
    .transform(text => ({ name: text.slice(0, text.indexOf(":")), token: text.slice(text.indexOf(":") + 1) }));
const list = <Item extends z.ZodType>(item: Item) =>
    z.preprocess(
        value =>
            typeof value === "string" ? value.split(",").map(part => part.trim()).filter(part => part !== "") : value,
        z.array(item),
    );
const count = (minimum: number, maximum: number) => z.coerce.number().int().min(minimum).max(maximum);
const withDescription = <Schema extends z.ZodType>(schema: Schema, description: SettingDescription) =>
    schema.meta({ ...description });

/** Schema of the settings. Keys are in camel case; flags and environment variables are derived from them. */
export const settingsSchema = z.object({
    name: withDescription(daemonName, {
        description: "Name of this daemon, unique in the deployment.",
        example: "pta-hall-a-1",
    }),
    dataCentre: withDescription(daemonName, { description: "Data centre of this daemon.", example: "pta-hall-a" }),
    listen: withDescription(address, { description: "Address for callers and operators.", example: "127.0.0.1:8080" }),
    peerListen: withDescription(address, { description: "Address for other daemons.", example: "127.0.0.1:8090" }),
    peers: withDescription(list(address).default([]), {
        description: "Addresses of other daemons to start from, separated by commas.",
        example: "127.0.0.1:8091,127.0.0.1:8092",
    }),
    platform: withDescription(httpUrl, { description: "Base URL of the platform.", example: "http://127.0.0.1:7000" }),
    operatorTokens: withDescription(list(operatorToken), {
        description: "Names of operators with their tokens, separated by commas.",
        example: "anna:TOKEN",
        secret: true,
    }),
    peerSecret: withDescription(z.string().min(16), {
        description: "Secret shared by all daemons of the deployment.",
        example: "SECRET",
        secret: true,
    }),
    targetCredential: withDescription(z.string().min(16), {
        description: "Credential presented to engines and services.",
        example: "CREDENTIAL",
        secret: true,
    }),
    maximumBodyBytes: withDescription(count(1024, 64 * 1024 * 1024).default(1024 * 1024), {
        description: "Largest accepted request body in bytes.",
        example: "1048576",
    }),
    headerTimeoutMilliseconds: withDescription(count(100, 120_000).default(10_000), {
        description: "Time within which a caller must have sent its request headers.",
        example: "10000",
    }),
    bodyTimeoutMilliseconds: withDescription(count(100, 600_000).default(30_000), {
        description: "Time within which a caller must have sent its request body.",
        example: "30000",
    }),
    shutdownBoundMilliseconds: withDescription(count(0, 3_600_000).default(120_000), {
        description: "Longest time that a graceful shutdown waits for requests in progress.",
        example: "120000",
    }),
    concurrencyPerGroup: withDescription(count(1, 4096).default(16), {
        description: "Requests in progress per replica group that this daemon counts on when it sizes its queue.",
        example: "16",
    }),
    statsdAddress: withDescription(address.optional(), {
        description: "StatsD receiver of the metrics.",
        example: "127.0.0.1:8125",
    }),
    otlpUrl: withDescription(httpUrl.optional(), {
        description: "OTLP HTTP receiver of the traces.",
        example: "http://127.0.0.1:4318/v1/traces",
    }),
    logLevel: withDescription(z.enum(["debug", "info", "warn", "error"]).default("info"), {
        description: "Lowest level of log events that is written.",
        example: "info",
    }),
});

const PREFIX = "DAMASKVALE_";
/** Variables of the operators' command-line tool, which may be set in the same shell and are not unknown settings. */
const COMMAND_LINE_VARIABLES: readonly string[] = ["DAMASKVALE_DAEMON", "DAMASKVALE_OPERATOR_TOKEN"];

/** Settings of the daemon. */
export type Settings = z.infer<typeof settingsSchema>;
/** Name of a setting. */
export type SettingName = keyof Settings;

/** Names of all settings, in the order of the documentation. */
export const settingNames = Object.keys(settingsSchema.shape) as SettingName[];

/** Returns the flag of a setting without leading dashes, such as `peer-listen`. */
export function flagName(name: SettingName): string {
    return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** Returns the environment variable of a setting, such as `DAMASKVALE_PEER_LISTEN`. */
export function environmentName(name: SettingName): string {
    return `${PREFIX}${flagName(name).replaceAll("-", "_").toUpperCase()}`;
}

/** Returns the description of a setting. */
export function describeSetting(name: SettingName): SettingDescription {
    return settingsSchema.shape[name].meta() as unknown as SettingDescription;
}

/** Parses settings from flags and environment variables; flags take precedence. Returns all issues together. */
export function safeParseSettings(
    flags: Readonly<Record<string, string | undefined>>,
    environment: Readonly<Record<string, string | undefined>>,
): Result<Settings, Issue[]> {
    const values = Object.fromEntries(
        settingNames
            .map(name => [name, flags[flagName(name)] ?? environment[environmentName(name)]] as const)
            .filter(([, value]) => value !== undefined),
    );
    const unknown = Object.keys(environment)
        .filter(key =>
            key.startsWith(PREFIX) && !COMMAND_LINE_VARIABLES.includes(key)
            && !settingNames.some(name => environmentName(name) === key)
        )
        .map(key => issue("unknown_setting", [key], "is not a setting of the daemon"));
    const parsed = settingsSchema.safeParse(values);
    if (parsed.success && unknown.length === 0) {
        return Ok(parsed.data);
    }
    const findings = parsed.success ? [] : issuesFromZod(parsed.error).map(found => withSource(found, values));
    return Err([...unknown, ...findings]);
}

/** Parses settings like `safeParseSettings`; throws an `IssuesError` with all issues. */
export function parseSettings(
    flags: Readonly<Record<string, string | undefined>>,
    environment: Readonly<Record<string, string | undefined>>,
): Settings {
    const result = safeParseSettings(flags, environment);
    if (result.err) {
        throw new IssuesError(result.val);
    }
    return result.val;
}

function withSource(found: Issue, values: Readonly<Record<string, unknown>>): Issue {
    const name = found.path[0] as SettingName;
    const source = `--${flagName(name)} or ${environmentName(name)}`;
    if (values[name] === undefined) {
        return issue("required", [source], "is required");
    }
    return issue(found.code, [source, ...found.path.slice(1)], found.message);
}
