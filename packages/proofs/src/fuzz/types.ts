/** Types of the stateful fuzz modules and the common runner. */
import fc from "fast-check";

/** Result of one fuzz module. */
export interface FuzzResult {
    readonly name: string;
    readonly seed: number;
    readonly runs: number;
    readonly passed: boolean;
    /** Smallest failing scenario that was found, as text. */
    readonly counterexample?: string;
    /** Error of the failing scenario. */
    readonly error?: string;
    /** Trace of the failing scenario, one line per event. */
    readonly trace?: readonly string[];
}

/** One fuzz module. The same seed and number of runs give the same scenarios. */
export interface FuzzModule {
    readonly name: string;
    run(seed: number, runs: number): Promise<FuzzResult>;
}

/** Writes one line of the trace. */
export type Trace = (line: string) => void;

/**
 * Creates a fuzz module from a generator of scenarios and a function that runs one scenario and throws if an invariant
 * is violated. On failure, runs the smallest failing scenario again to record its trace.
 */
export function createFuzzModule<Scenario>(
    name: string,
    scenarios: fc.Arbitrary<Scenario>,
    runScenario: (scenario: Scenario, trace: Trace) => Promise<void>,
): FuzzModule {
    return {
        name,
        run: async (seed, runs) => {
            const property = fc.asyncProperty(scenarios, scenario => runScenario(scenario, () => undefined));
            const details = await fc.check(property, { seed, numRuns: runs });
            if (!details.failed) {
                return { name, seed, runs, passed: true };
            }
            const counterexample = details.counterexample?.[0];
            const trace: string[] = [];
            const error = counterexample === undefined
                ? details.errorInstance
                : await runScenario(counterexample, line => trace.push(line)).then(
                    () => `The failure was not reproduced; the first failure was: ${String(details.errorInstance)}`,
                    (failure: unknown) => failure,
                );
            return {
                name,
                seed,
                runs: details.numRuns,
                passed: false,
                counterexample: fc.stringify(counterexample),
                error: error instanceof Error ? error.stack ?? error.message : String(error),
                trace,
            };
        },
    };
}
