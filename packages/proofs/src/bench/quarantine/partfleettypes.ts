/** Types of the simulation of daemons that serve prompts with shared parts. */
import type { PartQuarantine, PartStatement, QuarantineReport } from "@damaskvale/core";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Connectivity } from "./connectivity.js";
import type { SimulatedTime } from "./simulatedtime.js";

/** Part that crashes targets for a time. Other requests can contain it too. */
export interface HarmfulPart {
    readonly part: string;
    readonly from: number;
    readonly until: number;
    /** Requests per second that always contain it, also after it was mended. */
    readonly perSecond: number;
}

/** What happens to the fleet besides. Times are simulated milliseconds. */
export type Disturbance =
    /** Processes of targets end by another cause, within `spread`. */
    | { readonly kind: "kill"; readonly at: number; readonly targets: readonly number[]; readonly spread: number; }
    /** Connections of a daemon are reset although the process lives, which is found out a little later. */
    | { readonly kind: "reset"; readonly at: number; readonly daemon: number; readonly targets: readonly number[]; }
    | { readonly kind: "cut"; readonly from: number; readonly until: number; readonly daemons: readonly number[]; }
    | { readonly kind: "pause"; readonly from: number; readonly until: number; readonly daemons: readonly number[]; }
    | { readonly kind: "restart"; readonly at: number; readonly daemon: number; };

/** Simulated fleet and its load. */
export interface PartFleetOptions {
    readonly daemons: number;
    readonly targets: number;
    readonly slots: number;
    readonly milliseconds: number;
    /** Requests per second of sound callers of the whole fleet. */
    readonly soundPerSecond: number;
    /** Number of first parts, which many requests share, and of other parts, which few share. */
    readonly firstParts: number;
    readonly otherParts: number;
    readonly harmful: readonly HarmfulPart[];
    readonly disturbances: readonly Disturbance[];
    /** Share of datagrams that are lost. */
    readonly loss: number;
    readonly random: RandomGenerator;
    readonly createQuarantine: () => PartQuarantine;
    readonly trace?: (line: string) => void;
}

/** Attempt of a request with a harmful part that reached a target. */
export interface HarmfulAttempt {
    readonly part: string;
    readonly at: number;
    readonly isTrial: boolean;
    /** Whether the daemon has been neither cut off nor paused nor started for 3 s. */
    readonly inTouch: boolean;
}

/** Crash by a harmful part. */
export interface HarmfulCrash {
    readonly part: string;
    readonly at: number;
    readonly inTouch: boolean;
}

/** Time for which a daemon quarantined a part that crashes nothing. */
export interface FalseBlame {
    readonly part: string;
    readonly daemon: number;
    readonly from: number;
    readonly milliseconds: number;
}

/** Request of a caller, with the number of the attempt. */
export interface Request {
    readonly parts: readonly string[];
    readonly attempt: number;
}

/** Attempt at a target. */
export interface Stream {
    readonly request: Request;
    readonly daemon: Daemon;
    readonly target: TargetProcess;
    firstEventAt?: number;
    ended: boolean;
}

/** Target; a crash ends its process. */
export interface TargetProcess {
    readonly name: string;
    startedAt: number;
    servesAt: number;
    streams: Set<Stream>;
}

/** Daemon as the simulation knows it. */
export interface Daemon {
    readonly index: number;
    quarantine: PartQuarantine;
    disturbedAt: number;
    pausedUntil: number;
    heardAt: Map<number, number>;
    announced: boolean;
    /** Beginning of each false quarantine. */
    blames: Map<string, number>;
}

/** First attempt of a request that crashes nothing. */
export interface SoundRequest {
    readonly first: string;
    readonly at: number;
    readonly isRefused: boolean;
}

/** Decision that a daemon made or received. */
export interface RecordedStatement {
    readonly at: number;
    readonly daemon: number;
    readonly statement: PartStatement;
}

/** What the modules of the simulation share, with the records of what happened. */
export interface FleetWorld {
    readonly options: PartFleetOptions;
    readonly time: SimulatedTime;
    readonly connectivity: Connectivity;
    readonly daemons: readonly Daemon[];
    readonly targets: readonly TargetProcess[];
    readonly attempts: HarmfulAttempt[];
    readonly crashes: HarmfulCrash[];
    readonly statements: RecordedStatement[];
    readonly sound: SoundRequest[];
    /** Whether a part crashes targets now. */
    readonly isHarmful: (part: string) => boolean;
    readonly trace: (line: string) => void;
}

/** Replaces times by ages, and ages by times. */
export function shiftReport({ crashes, proven, statements }: QuarantineReport, by: number): QuarantineReport {
    return {
        crashes: crashes.map(crash => ({ ...crash, at: crash.at + by })),
        proven: proven.map(proof => ({ ...proof, at: proof.at + by })),
        statements: statements.map(statement => ({
            ...statement,
            statedAt: statement.statedAt + by,
            trialAt: statement.trialAt === undefined ? undefined : statement.trialAt + by,
        })),
    };
}
