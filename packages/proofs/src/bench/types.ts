/** Types of the benchmarks. */

/** Options of one run. The same options give the same figures for benchmarks without real time. */
export interface BenchOptions {
    readonly seed: number;
    /** Shorter run for a quick look; its figures do not go onto pages. */
    readonly quick: boolean;
}

/** One measured value. */
export interface BenchFigure {
    readonly scenario: string;
    /** What was measured, such as the name of a policy. */
    readonly subject: string;
    /** Whether the subject is what the others are compared with. */
    readonly baseline: boolean;
    readonly measure: string;
    readonly unit: string;
    readonly value: number;
    readonly better: "lower" | "higher";
}

/** Figures of one benchmark. */
export interface BenchResult {
    readonly name: string;
    readonly seed: number;
    readonly quick: boolean;
    readonly figures: readonly BenchFigure[];
}

/** One benchmark. */
export interface Bench {
    readonly name: string;
    run(options: BenchOptions): Promise<BenchResult>;
}
