/**
 * Follows what the store holds: the configuration, the targets and the daemons. Daemons of a data centre share the reads: those
 * that hear a collector learn of changes from it, and read only what it tells them of.
 */
import type { LogPosition, Target } from "@damaskvale/core";
import { type ConfigurationRangeMessage, decodeConfigurationRange } from "../peers/configurationmessage.js";
import type { LoadExchange } from "../peers/loadexchangeparts.js";
import { startPresence } from "../peers/presence.js";
import { MOST_DAEMONS_AT_ONCE } from "../peers/sendschedule.js";
import { createUnknownDaemons } from "../peers/unknowndaemons.js";
import type { ConfigurationTopic, OperatorRecord, TopicChange, TopicPage, TopicRange } from "../ports/registry.js";
import { type FedTopicFollower, followTopic, type TopicFollower } from "../tasks/followtopic.js";
import {
    type ConfigurationReader,
    configurationWaitMilliseconds,
    isConfigurationWatcher,
} from "./configurationwait.js";
import { type CollectorConfirmation, createCollectorConfirmation, observeReads } from "./confirmedreads.js";
import { collectorReadDelayMilliseconds, ownReadDelayMilliseconds, registryReadDelayMilliseconds } from "./pace.js";
import { locate, presenceOf, type SharedParts } from "./sharedparts.js";
import { refreshAfterRestore } from "./storerestore.js";
import { withWriteNumber } from "./targetentries.js";

/** Hosts write to the registry all the time, so a read rarely waits; a short timeout detects a dead connection early. */
const TARGETS_LONG_POLL_MILLISECONDS = 900;
/** Versions published within this time are read as one batch. */
const CONFIGURATION_READ_DELAY_MILLISECONDS = 200;
/** Other daemons may announce a configuration that is still in transit to this one over a slower link. */
const ANNOUNCED_CONFIGURATION_GRACE_MILLISECONDS = 400;
/** Longer than two statements of a collector without changes, so that a single lost one does not end the rest. */
const REST_MILLISECONDS = 2_000;
/** Collectors are heard several times a second; what a rest needs is computed less often. */
const REST_INTERVAL_MILLISECONDS = 250;

/** Followers of the store's topics. */
export interface StoreFollowers {
    /** Lets the exchange pass on what this daemon reads of the targets and the configuration. */
    readonly connect: (exchange: LoadExchange) => void;
    /** Applies changes of targets that a collector read. */
    readonly offerTargets: (range: TopicRange<Target>) => void;
    /** Applies versions of the configuration that a collector read. */
    readonly offerConfiguration: (range: ConfigurationRangeMessage) => void;
    /** Newest version of the configuration that this daemon knows of, 0 if it knows none. */
    readonly newestConfiguration: () => number;
    /** Reads a version of which another daemon knows. */
    readonly readNewerConfiguration: (version: number) => void;
    /**
     * Makes no reads of configurations and daemons for a time, because the collector that is heard tells of changes. It is
     * relied on for the configuration only for as long as the store has confirmed the collector's own, by its age.
     */
    readonly rest: (configurationAgeMilliseconds: number | undefined) => void;
    /** How long ago the store confirmed the configuration to this daemon; `undefined` if it never did. */
    readonly configurationAgeMilliseconds: () => number | undefined;
    /** Reads the daemons anew, because these were named and are not known. */
    readonly readUnknownDaemons: (names: readonly string[]) => void;
}

/** Returns the position of this daemon among the readers of the configuration. */
export function configurationReader(shared: SharedParts): ConfigurationReader {
    return { self: presenceOf(shared.settings), peers: locate(shared.otherDaemons(), shared.daemons) };
}

/** Starts to follow all topics. */
export function startStoreFollowers(shared: SharedParts): StoreFollowers {
    const { settings, ports, clock, log, random, state, daemons } = shared;
    let exchange: LoadExchange | undefined;
    let newestKnown = 0;
    const unknownDaemons = createUnknownDaemons();
    const confirmed = observeReads(ports.configuration(log), clock);
    const configurationTopic = confirmed.topic;
    const confirmation = createCollectorConfirmation(clock, settings.configurationMilliseconds);
    const configuration = followConfiguration(
        shared,
        configurationTopic,
        range => exchange?.passOnConfiguration(range),
        confirmation.isMissing,
    );
    const presence = startPresence({
        topic: ports.presence(log),
        self: presenceOf(settings),
        log,
        random,
        storeEra: ports.storeEra,
        setPeers: daemons.replace,
    });
    const targets = followTopic({
        topic: ports.targets(log),
        log,
        random,
        currentEra: () => ports.storeEra.current(),
        waitMilliseconds: () => TARGETS_LONG_POLL_MILLISECONDS,
        pauseMilliseconds: () => registryReadDelay(shared, exchange?.collectorRank() !== undefined),
        // The long poll for the configuration uses the same network, so its connection is probably dead as well.
        onLost: () => configuration.refresh(0),
        replace: (changes, isRestored) => state.replaceTargets(changes.flatMap(withWriteNumber), isRestored),
        apply: changes => state.applyTargets(changes),
        onRead: range => exchange?.passOnTargets(range),
    });
    refreshAfterRestore(ports.storeEra, [configuration, targets, presence]);
    return {
        connect: started => {
            exchange = started;
        },
        offerTargets: range => {
            const rank = exchange?.collectorRank();
            targets.offer(range, ownReadDelayMilliseconds(rank, settings.drainNoticeMilliseconds, random));
        },
        offerConfiguration: range => {
            try {
                configuration.offer(decodeConfigurationRange(range, configurationTopic), confirmation.milliseconds);
            }
            catch (error) {
                // This daemon reads the version itself when a message names it.
                log.emit("peerMessageRefused", { reason: String(error) });
            }
        },
        newestConfiguration: () => Math.max(newestKnown, state.lookup()?.configuration.version ?? 0),
        readNewerConfiguration: version => {
            newestKnown = Math.max(newestKnown, version);
            configuration.refresh(ANNOUNCED_CONFIGURATION_GRACE_MILLISECONDS);
        },
        rest: createRest(shared, presence, configuration, confirmation),
        configurationAgeMilliseconds: confirmed.ageMilliseconds,
        readUnknownDaemons: names => {
            const delay = unknownDaemons.readAfter(names, daemons.count(), clock.monotonic());
            if (delay !== undefined) {
                setTimeout(() => presence.refresh(0), delay).unref();
            }
        },
    };
}

/** Returns what lets the followers rest when the first collector is heard. */
function createRest(
    shared: SharedParts,
    presence: TopicFollower,
    configuration: TopicFollower,
    confirmation: CollectorConfirmation,
): StoreFollowers["rest"] {
    const { clock, daemons } = shared;
    let restedAt = Number.NEGATIVE_INFINITY;
    return configurationAgeMilliseconds => {
        const now = clock.monotonic();
        if (now - restedAt < REST_INTERVAL_MILLISECONDS) {
            return;
        }
        restedAt = now;
        // In a small fleet these reads are few, and all daemons agree on a new first collector at once.
        if (daemons.count() > MOST_DAEMONS_AT_ONCE) {
            presence.rest(REST_MILLISECONDS);
        }
        const confirmedMilliseconds = confirmation.confirm(configurationAgeMilliseconds);
        if (confirmedMilliseconds > 0 && !isConfigurationWatcher(configurationReader(shared))) {
            configuration.rest(confirmedMilliseconds);
        }
    };
}

function followConfiguration(
    shared: SharedParts,
    topic: ConfigurationTopic,
    onRead: (range: TopicRange<OperatorRecord>) => void,
    isUnconfirmed: () => boolean,
): FedTopicFollower<OperatorRecord> {
    const { settings, ports, log, random } = shared;
    return followTopic({
        topic,
        log,
        random,
        currentEra: () => ports.storeEra.current(),
        waitMilliseconds: () =>
            configurationWaitMilliseconds(
                { ...configurationReader(shared), isUnconfirmed: isUnconfirmed() },
                settings.configurationMilliseconds,
            ),
        pauseMilliseconds: () => CONFIGURATION_READ_DELAY_MILLISECONDS,
        replace: (changes, ...[, page]) => replaceOperatorRecords(shared, changes, page),
        apply: (changes, page) => applyOperatorRecords(shared, changes, page),
        onRead,
    });
}

/** Takes over a read of all newest values. Evacuations come first, so that none is unknown once callers are served. */
function replaceOperatorRecords(
    shared: SharedParts,
    changes: readonly TopicChange<OperatorRecord>[],
    page: TopicPage<OperatorRecord>,
): void {
    const evacuated = changes.flatMap(({ value }) => value?.kind === "evacuation" ? [value.dataCentre] : []);
    shared.evacuations.replaceAll(evacuated, lastPositionOf(page));
    applyOperatorRecords(shared, changes.filter(({ value }) => value?.kind !== "evacuation"), page);
}

function applyOperatorRecords(
    { log, state, evacuations }: SharedParts,
    changes: readonly TopicChange<OperatorRecord>[],
    page: TopicPage<OperatorRecord>,
): void {
    changes.forEach(({ value }) => {
        if (value?.kind === "evacuation") {
            const { dataCentre, evacuated } = value;
            evacuations.merge({ dataCentre, evacuated, ...lastPositionOf(page) });
        }
        else if (value !== undefined && state.applyConfiguration(value.configuration)) {
            log.emit("configurationApplied", { configurationVersion: value.configuration.version });
        }
    });
}

/** Returns the position of the last record of a page. A page has only the newest value of each key up to there. */
function lastPositionOf({ era, nextOffset }: TopicPage<OperatorRecord>): LogPosition {
    return { era, offset: nextOffset - 1 };
}

/** Returns the delay between two registry reads in milliseconds. */
function registryReadDelay({ daemons, settings }: SharedParts, isCollector: boolean): number {
    return isCollector
        ? collectorReadDelayMilliseconds(settings.drainNoticeMilliseconds)
        : registryReadDelayMilliseconds(daemons.count(), settings.drainNoticeMilliseconds);
}
