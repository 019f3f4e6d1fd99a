/** Types shared by the benchmarks. */

/** Options of one run. Benchmarks in simulated time are deterministic for the same options. */
export interface BenchOptions {
    readonly seed: number;
    /** Shorter run for a first impression; its figures are not published. */
    readonly quick: boolean;
}

/** One measured value. */
export interface BenchFigure {
    readonly scenario: string;
    /** Measured variant, such as the name of a policy. */
    readonly subject: string;
    /** Whether the subject is a baseline that the others are compared with. */
    readonly baseline: boolean;
    readonly measure: string;
    readonly unit: string;
    readonly value: number;
    readonly better: "lower" | "higher";
}

/** Result of one benchmark run. */
export interface BenchResult {
    readonly name: string;
    readonly seed: number;
    readonly quick: boolean;
    readonly figures: readonly BenchFigure[];
}

/** Benchmark that `npm run bench` can run. */
export interface Bench {
    readonly name: string;
    run(options: BenchOptions): Promise<BenchResult>;
}
