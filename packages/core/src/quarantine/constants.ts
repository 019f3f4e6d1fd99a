/** Bounds and times of the quarantine. The choice and its figures are in docs/decisions/quarantine.md. */

/** Crashes that are remembered; the oldest is dropped, which can only delay blame. */
export const MAXIMUM_CRASHES = 256;
/** Parts that are remembered of one crash. Those that occur in another crash come first. */
export const MAXIMUM_PARTS_OF_CRASH = 96;
/** Parts and requests whose last proof is remembered; the least recently used is dropped and then counts as never proven. */
export const MAXIMUM_PROVEN_PARTS = 16_384;
/** Decisions that are remembered. Released parts are dropped first, then the oldest, whose parts are served again. */
export const MAXIMUM_STATEMENTS = 256;

/** Crashes, parts of crashes, proofs and decisions in one report. What is older is reported in turn. */
export const MAXIMUM_REPORTED_CRASHES = 32;
export const MAXIMUM_REPORTED_PARTS = 512;
export const MAXIMUM_REPORTED_PROOFS = 128;
export const MAXIMUM_REPORTED_STATEMENTS = 32;
/** Facts younger than this are in each report, as far as the bounds allow. */
export const UPDATE_MILLISECONDS = 3_000;
/** Older facts in each report, one after another. */
export const OLD_FACTS_IN_REPORT = 2;

/** A crash counts this long. Harmful requests may come some minutes apart. */
export const CRASH_RETENTION_MILLISECONDS = 1_800_000;
/** A quarantined part for which no request came this long is forgotten. */
export const STATEMENT_RETENTION_MILLISECONDS = 7_200_000;
/** Crashes of a target whose start is not known everywhere are one crash if they are this close. */
export const SAME_CRASH_MILLISECONDS = 2_000;

/** Time from the first event of a stream until it counts as proven. */
export const PROOF_MILLISECONDS = 500;
/** A first event clears crashes that are this much older, because reported ages lack the time of the message. */
export const PROOF_MARGIN_MILLISECONDS = 250;
/** A part with a proof not older than this was sound before, so that others that use it are likely to prove it again. */
export const PROOF_RETENTION_MILLISECONDS = 600_000;
/**
 * A part that was sound before is blamed only if crashes go on this long without a proof. Proofs need that time to arrive,
 * and when all targets of a route end at once, no proof can come but no further crash either.
 */
export const SOUND_CRASH_SPAN_MILLISECONDS = 2_000;
/**
 * After this many crashes, it is blamed this long after the first one, crash or no crash. A part that has crashed all
 * targets would otherwise reach several as they return.
 */
export const CRASHES_FOR_TIMED_BLAME = 5;
export const TIMED_BLAME_MILLISECONDS = 2_500;
/** Suspects are weighed again this often while nothing new is learned. */
export const ADVANCE_MILLISECONDS = 100;
/** Crashes without the part that raise the number of crashes needed. */
export const OTHER_CRASHES_MILLISECONDS = 30_000;

/** Once crashes ended for this long, nobody is blamed for them because another part is proven. */
export const SUSPICION_MILLISECONDS = 3_000;

/** Pause until the first trial of a part that may be blamed wrongly, and of others. */
export const DOUBTFUL_TRIAL_PAUSE_MILLISECONDS = 2_500;
export const TRIAL_PAUSE_MILLISECONDS = 30_000;
/** Factor of the pause for each further crash. */
export const TRIAL_PAUSE_GROWTH = 4;
/** While nobody has tried a part that is due, twice as many daemons may after each such time. */
export const TRIAL_STAGE_MILLISECONDS = 500;
/** Daemons that may try a part at once before they learn of each other's trials. Each of these can crash a target. */
export const MAXIMUM_TRIAL_DAEMONS = 3;
/** A trial without a result is repeated after this time, which grows too. */
export const TRIAL_RESULT_MILLISECONDS = 10_000;
/** Time that is stated to callers when no automatic trial is left. */
export const NO_TRIAL_RETRY_MILLISECONDS = 300_000;
/** Least time that is stated to callers, and what is added so that they don't return together. */
export const MINIMUM_RETRY_MILLISECONDS = 1_000;
export const RETRY_SPREAD = 0.5;
/** An operator's release outweighs this many automatic decisions that other daemons made without knowing of it. */
export const OPERATOR_REVISIONS = 1_000;
