/** Chooses the weights that spare hosts of a domain load in advance, so that they can replace a lost member at once. */
import type { ModelProfile } from "../routes/types.js";
import type { FreeHostAllocation, WeightLoad } from "./forming.js";
import type { EngineOrder } from "./orders.js";
import type { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput } from "./planinput.js";
import type { Target } from "./types.js";

/** A spare drops its weights only for a model whose need is at least this many times as high. */
const RELOAD_NEED_RATIO = 2;

/** Input of the choice of loads. */
export interface StagingInput {
    readonly input: DomainPlanInput;
    readonly allocation: Pick<FreeHostAllocation, "loading" | "idle">;
    /** Spares that cannot get an order now, for example because they are being warmed up. */
    readonly unavailableSpares: readonly Target[];
    /** Number of complete groups of the domain by model. */
    readonly groupsInDomain: ReadonlyMap<string, number>;
    /** Whether hosts may drop weights; only if groups were chosen in this round, so that none needs the weights. */
    readonly mayDropWeights: boolean;
}

/**
 * Returns the orders to load weights: first for members of chosen groups, then for spares. The need of a model for a
 * spare grows with the number of hosts in its groups of the domain and falls with the spares that hold its weights.
 */
export function stageHosts(staging: StagingInput, pending: PendingOperations): EngineOrder[] {
    const { input, allocation } = staging;
    const loads = [
        ...allocation.loading.filter(({ target, model }) => pending.loadingModelOf(target) !== model.name),
        ...planSpareLoads(staging, pending),
    ].slice(0, Math.max(0, input.loadsAllowed));
    loads.forEach(({ target, model }) => pending.recordLoad(target, model, input.now));
    return loads.map(({ target, model }) => ({ kind: "stage", host: target.id, model: model.name }));
}

function planSpareLoads(
    { input, allocation, unavailableSpares, groupsInDomain, mayDropWeights }: StagingInput,
    pending: PendingOperations,
): WeightLoad[] {
    const { models } = input;
    const spares = createSpareCount(models, [...allocation.idle, ...unavailableSpares], groupsInDomain, pending);
    const canLoad = allocation.idle.filter(target => !target.busy && pending.loadingModelOf(target) === undefined);
    const forEmpty = canLoad.filter(target => target.stagedModels.length === 0)
        .flatMap(target => spares.change(target, [], spares.neediest()));
    const holders = mayDropWeights ? canLoad.filter(target => target.stagedModels.length > 0) : [];
    const forHolders = holders.flatMap(target => {
        const dropped = models.filter(({ name }) => target.stagedModels.includes(name));
        const model = spares.neediest();
        return model !== undefined && spares.isWorthReload(model, dropped)
            ? spares.change(target, dropped, model)
            : [];
    });
    return [...forEmpty, ...forHolders];
}

/** Number of spares that hold each model, updated while loads are planned. */
interface SpareCount {
    /** Returns the model with the highest need for a spare. */
    neediest(): ModelProfile | undefined;
    /** Returns whether a spare is clearly more useful with this model than with the models that it would drop. */
    isWorthReload(model: ModelProfile, dropped: readonly ModelProfile[]): boolean;
    /** Records a load that replaces other weights, and returns it. */
    change(target: Target, dropped: readonly ModelProfile[], model: ModelProfile | undefined): WeightLoad[];
}

function createSpareCount(
    models: readonly ModelProfile[],
    hosts: readonly Target[],
    groupsInDomain: ReadonlyMap<string, number>,
    pending: PendingOperations,
): SpareCount {
    const holderCounts = new Map(
        models.map((
            { name },
        ) => [name, hosts.filter(target => pending.expectedModelsOf(target).includes(name)).length]),
    );
    const holdersOf = ({ name }: ModelProfile): number => holderCounts.get(name) ?? 0;
    const need = ({ name, size }: ModelProfile, spareCount: number): number =>
        size * (1 + (groupsInDomain.get(name) ?? 0)) / (spareCount + 1);
    return {
        neediest: () =>
            [...models].sort((left, right) =>
                need(right, holdersOf(right)) - need(left, holdersOf(left)) || holdersOf(left) - holdersOf(right)
            )[0],
        isWorthReload: (model, dropped) =>
            !dropped.includes(model)
            && dropped.every(other =>
                need(model, holdersOf(model)) >= RELOAD_NEED_RATIO * need(other, holdersOf(other) - 1)
            ),
        change: (target, dropped, model) => {
            if (model === undefined) {
                return [];
            }
            dropped.forEach(other => holderCounts.set(other.name, holdersOf(other) - 1));
            holderCounts.set(model.name, holdersOf(model) + 1);
            return [{ target, model }];
        },
    };
}
