/** Which weights the free hosts of a domain load ahead, so that a lost member is replaced by a host that holds them. */
import type { ModelProfile } from "../routes/types.js";
import type { FreeHostAllocation, WeightLoad } from "./forming.js";
import type { EngineOrder } from "./orders.js";
import type { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput } from "./planinput.js";
import type { Target } from "./types.js";

/** A spare drops its weights only for a model that needs it so many times more. */
const RELOAD_NEED_RATIO = 2;

/** What is loaded for. */
export interface StagingInput {
    readonly input: DomainPlanInput;
    readonly forming: Pick<FreeHostAllocation, "loading" | "idle">;
    /** Spares that cannot be given an order now, for example because they are warmed up. */
    readonly otherSpares: readonly Target[];
    /** Groups of the domain by model. */
    readonly groupsInDomain: ReadonlyMap<string, number>;
    /** Whether hosts may drop weights, which holds only if it is known that no group needs them. */
    readonly mayReload: boolean;
}

/**
 * Orders to load weights: first for the members of groups that are to be formed, then for spares. The need of a model
 * for a spare grows with the hosts of its groups in the domain and falls with the spares that hold its weights.
 */
export function stageHosts(staging: StagingInput, pending: PendingOperations): EngineOrder[] {
    const { input, forming } = staging;
    const loads = [
        ...forming.loading.filter(({ target, model }) => pending.stagingOf(target) !== model.name),
        ...loadsOfSpares(staging, pending),
    ].slice(0, Math.max(0, input.loadsAllowed));
    loads.forEach(({ target, model }) => pending.noteStaging(target, model, input.now));
    return loads.map(({ target, model }) => ({ kind: "stage", host: target.id, model: model.name }));
}

function loadsOfSpares(
    { input, forming, otherSpares, groupsInDomain, mayReload }: StagingInput,
    pending: PendingOperations,
): WeightLoad[] {
    const { models } = input;
    const spares = createSpareCount(models, [...forming.idle, ...otherSpares], groupsInDomain, pending);
    const canLoad = forming.idle.filter(target => !target.busy && pending.stagingOf(target) === undefined);
    const forEmpty = canLoad.filter(target => target.stagedModels.length === 0)
        .flatMap(target => spares.change(target, [], spares.neediest()));
    const holders = mayReload ? canLoad.filter(target => target.stagedModels.length > 0) : [];
    const forHolders = holders.flatMap(target => {
        const dropped = models.filter(({ name }) => target.stagedModels.includes(name));
        const model = spares.neediest();
        return model !== undefined && spares.isBetter(model, dropped) ? spares.change(target, dropped, model) : [];
    });
    return [...forEmpty, ...forHolders];
}

/** Spares of each model while loads are being decided on. */
interface SpareCount {
    /** Model that needs a spare most. */
    neediest(): ModelProfile | undefined;
    /** Whether a spare is worth clearly more with one model than with those that it holds. */
    isBetter(model: ModelProfile, dropped: readonly ModelProfile[]): boolean;
    /** Notes a load that takes the place of other weights, and returns it. */
    change(target: Target, dropped: readonly ModelProfile[], model: ModelProfile | undefined): WeightLoad[];
}

function createSpareCount(
    models: readonly ModelProfile[],
    all: readonly Target[],
    groupsInDomain: ReadonlyMap<string, number>,
    pending: PendingOperations,
): SpareCount {
    const held = new Map(
        models.map(({ name }) => [name, all.filter(target => pending.modelsOf(target).includes(name)).length]),
    );
    const heldOf = ({ name }: ModelProfile): number => held.get(name) ?? 0;
    const need = ({ name, size }: ModelProfile, spares: number): number =>
        size * (1 + (groupsInDomain.get(name) ?? 0)) / (spares + 1);
    return {
        neediest: () =>
            [...models].sort((left, right) =>
                need(right, heldOf(right)) - need(left, heldOf(left)) || heldOf(left) - heldOf(right)
            )[0],
        isBetter: (model, dropped) =>
            !dropped.includes(model)
            && dropped.every(other => need(model, heldOf(model)) >= RELOAD_NEED_RATIO * need(other, heldOf(other) - 1)),
        change: (target, dropped, model) => {
            if (model === undefined) {
                return [];
            }
            dropped.forEach(other => held.set(other.name, heldOf(other) - 1));
            held.set(model.name, heldOf(model) + 1);
            return [{ target, model }];
        },
    };
}
