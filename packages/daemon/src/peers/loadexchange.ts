/**
 * Exchange of loads and knowledge between daemons over UDP. Each daemon reports to two collectors of its data centre, which
 * state the sums to the daemons that report to them and to the collectors of the other data centres. Each message
 * supersedes the previous one of its kind, so that messages need neither retransmission nor ordering, and there is no
 * connection that could go dead unnoticed.
 */
import { createCollectorChooser, type Target } from "@damaskvale/core";
import { createSocket, type Socket } from "node:dgram";
import type { OperatorRecord, TopicRange } from "../ports/registry.js";
import type { ReportedMembership } from "../relay/statetypes.js";
import { createCollector } from "./collector.js";
import { encodeConfigurationRange } from "./configurationmessage.js";
import {
    type CommonFields,
    type DataCentreMessage,
    decodeExchangeMessage,
    decodeLoads,
    decodeMembers,
    describeLoads,
    encodeDatagram,
    encodeLoads,
    type EventMessage,
    type ExchangeMessage,
    hasKnowledge,
    type HeadSuspicion,
    type ReportMessage,
    type StatementMessage,
} from "./exchangemessage.js";
import { applyKnowledge, encodeKnowledge } from "./knowledge.js";
import type { LoadExchange, LoadExchangeParts } from "./loadexchangeparts.js";
import { collectorsElsewhere } from "./remotecollectors.js";
import { createSendSchedule, IDLE_INTERVAL_MILLISECONDS, MOST_DAEMONS_AT_ONCE } from "./sendschedule.js";
import { createSilenceDetector } from "./silence.js";
import { createTargetPages, decodeTargetRange, encodeTargetRange } from "./targetpages.js";

/** Interval of reports, and of statements to the own data centre. */
const ROUND_MILLISECONDS = 120;
/** Rounds between two statements to other data centres. */
const REMOTE_ROUNDS = 2;
/** Differences below this come from the readings of the clock. */
const CONFIRMATION_TOLERANCE_MILLISECONDS = 5;
/** Time over which events are gathered into one message. */
const EVENT_DELAY_MILLISECONDS = 10;

/** Starts the exchange. */
export function startLoadExchange(parts: LoadExchangeParts): LoadExchange {
    return new LoadExchangeTask(parts);
}

class LoadExchangeTask implements LoadExchange {
    private readonly socket: Socket = createSocket("udp4");
    private readonly timer: NodeJS.Timeout;
    private readonly collector = createCollector();
    private readonly chooser = createCollectorChooser();
    private readonly silence = createSilenceDetector();
    private readonly targetPages = createTargetPages();
    private round = 0;
    private sequence = 0;
    private announcedVersion = 0;
    private reportedToAllAt = Number.NEGATIVE_INFINITY;
    private readonly schedule = createSendSchedule();
    /** When the store had confirmed the configuration by the last statement that was sent for this. */
    private statedConfirmationAt = 0;
    private rosterSent = { names: "", at: Number.NEGATIVE_INFINITY };
    private pendingEvent: Pick<EventMessage, "suspects" | "memberships"> | undefined;
    private readonly handlers: {
        readonly [Kind in ExchangeMessage["kind"]]: (message: Extract<ExchangeMessage, { kind: Kind; }>) => void;
    };

    constructor(private readonly parts: LoadExchangeParts) {
        const { log, self, port } = parts;
        this.handlers = {
            report: message => this.receiveReport(message),
            statement: message => this.receiveStatement(message),
            dataCentre: message => this.receiveDataCentre(message),
            targets: ({ range }) => {
                range.changes.forEach(({ key }) => this.targetPages.recordReceived(key));
                parts.onTargets(decodeTargetRange(range));
            },
            configuration: ({ range }) => parts.onConfiguration(range),
            event: ({ daemon, takesRequests, suspects, memberships }) => {
                this.collector.recordTakesRequests(daemon, takesRequests);
                parts.roster.record(daemon, takesRequests, this.now());
                suspects.forEach(suspicion => parts.onSuspicion(suspicion, daemon));
                memberships.forEach(parts.onMembership);
            },
        };
        this.socket.on("message", bytes => this.receiveGuarded(bytes));
        this.socket.on("error", error => log.emit("taskFailed", { task: "load exchange", error }));
        this.socket.bind(port, self.ip);
        this.timer = setInterval(() => this.runRound(), ROUND_MILLISECONDS);
    }

    suspect(suspicion: HeadSuspicion): void {
        this.scheduleEvent({ suspects: [suspicion], memberships: [] });
    }

    broadcastMembership(reported: ReportedMembership): void {
        this.scheduleEvent({ suspects: [], memberships: [reported] });
    }

    broadcastKnowledge(): void {
        this.scheduleEvent({ suspects: [], memberships: [] });
    }

    broadcastQuarantine(): void {
        if (this.isSmallFleet()) {
            this.broadcastKnowledge();
        }
    }

    passOnTargets(range: TopicRange<Target>): void {
        const ranges = this.targetPages.split(range, this.now());
        if (this.collectorRank() === undefined) {
            return;
        }
        const { daemon } = this.parts.self;
        const members = this.otherMembers();
        ranges.forEach(part => this.send({ kind: "targets", daemon, range: encodeTargetRange(part) }, members));
    }

    passOnConfiguration(range: TopicRange<OperatorRecord>): void {
        const message = this.collectorRank() === 0 ? encodeConfigurationRange(range) : undefined;
        if (message !== undefined) {
            this.send({ kind: "configuration", daemon: this.parts.self.daemon, range: message }, this.otherMembers());
        }
    }

    collectorRank(): number | undefined {
        const rank = this.collectors().indexOf(this.parts.self.daemon);
        return rank < 0 ? undefined : rank;
    }

    stop(): void {
        clearInterval(this.timer);
        this.socket.close();
    }

    private now(): number {
        return this.parts.clock.monotonic();
    }

    /** Returns the collectors of this data centre in order, as this daemon sees them. */
    private collectors(): readonly string[] {
        const { self, daemons } = this.parts;
        const now = this.now();
        return this.chooser.choose(self.dataCentre, daemons.all(), daemon => this.silence.isSilent(daemon, now));
    }

    /** Returns the daemons that report to this one. */
    private otherMembers(): string[] {
        return this.collector.members(this.now()).map(([daemon]) => daemon)
            .filter(daemon => daemon !== this.parts.self.daemon);
    }

    private runRound(): void {
        this.round += 1;
        const { self, announcesConfiguration, configurationVersion } = this.parts;
        const collectors = this.collectors();
        this.sendReport(collectors);
        this.sendStatement(collectors[0] === self.daemon);
        if (this.round % REMOTE_ROUNDS === 0 && collectors[0] === self.daemon) {
            this.sendToDataCentres();
        }
        if (configurationVersion() > this.announcedVersion && announcesConfiguration()) {
            this.broadcastKnowledge();
        }
        this.announcedVersion = configurationVersion();
    }

    private sendReport(collectors: readonly string[]): void {
        const { self, startedAt, loadTracker, statedLoads, failures, takesRequests } = this.parts;
        const loads = describeLoads(loadTracker);
        const content = [loads, collectors, takesRequests(), failures.recordedFailures()];
        if (!this.isDue("report", JSON.stringify(content))) {
            return;
        }
        const sequence = this.sequence += 1;
        statedLoads.recordSent(sequence, loads);
        const report: ReportMessage = {
            kind: "report",
            ...this.commonFields("report"),
            startedAt,
            sequence,
            loads: encodeLoads(loads),
            speeds: this.parts.speeds.report(),
            failures: failures.report(),
        };
        if (collectors.includes(self.daemon)) {
            this.receiveReport(report);
        }
        const others = collectors.filter(collector => collector !== self.daemon);
        others.forEach(collector => this.silence.expect(collector, this.now()));
        const hasNews = this.parts.hasQuarantineUpdates() && report.quarantine !== undefined;
        const isForAll = hasNews || this.now() - this.reportedToAllAt >= IDLE_INTERVAL_MILLISECONDS;
        if (isForAll) {
            this.reportedToAllAt = this.now();
        }
        // The second collector only has to know who reports, to take over.
        this.send(report, isForAll ? others : others.filter(collector => collector === collectors[0]));
    }

    /** States the sums to the daemons that report to this one, if there are any; rarely if it is not the first collector. */
    private sendStatement(isFirst: boolean): void {
        const now = this.now();
        const members = this.collector.members(now);
        if (members.length === 0) {
            return;
        }
        const sums = encodeLoads(this.collector.allSums(now));
        const roster = this.collector.roster(now);
        const names = JSON.stringify(roster);
        const sendsRoster = names !== this.rosterSent.names || now - this.rosterSent.at >= IDLE_INTERVAL_MILLISECONDS;
        const configurationAge = this.parts.configurationAgeMilliseconds();
        const isConfirmedAnew = isFirst && this.isConfirmedAnew(configurationAge, now);
        if (!this.isDue("statement", isFirst ? JSON.stringify(sums) : "") && !sendsRoster && !isConfirmedAnew) {
            return;
        }
        if (sendsRoster) {
            this.rosterSent = { names, at: now };
        }
        const statement: StatementMessage = {
            kind: "statement",
            ...this.commonFields("statement"),
            sums,
            members: [...members],
            ageMilliseconds: this.collector.ageMilliseconds(now),
            roster: sendsRoster ? roster : undefined,
            configurationAgeMilliseconds: configurationAge,
            slowTargets: this.parts.speeds.state(),
            failures: this.parts.failures.state(),
        };
        this.receiveStatement(statement);
        this.send(statement, this.otherMembers());
    }

    /** Returns whether the store has confirmed the configuration since the last statement. */
    private isConfirmedAnew(ageMilliseconds: number | undefined, now: number): boolean {
        const confirmedAt = now - (ageMilliseconds ?? Number.POSITIVE_INFINITY);
        const isNewer = confirmedAt - this.statedConfirmationAt > CONFIRMATION_TOLERANCE_MILLISECONDS;
        if (isNewer) {
            this.statedConfirmationAt = confirmedAt;
        }
        return isNewer;
    }

    /** States the sums of this data centre to the collectors of the others. */
    private sendToDataCentres(): void {
        const now = this.now();
        const { self, daemons, roster } = this.parts;
        const sums = encodeLoads(this.collector.localSums(now));
        const members = this.collector.members(now);
        const names = members.map(([daemon, startedAt]) => [daemon, startedAt]);
        if (!this.isDue("dataCentre", JSON.stringify([sums, names]))) {
            return;
        }
        const receivers = collectorsElsewhere({ self, daemons, running: new Set(roster.daemons(now)) }, this.chooser);
        this.send({
            kind: "dataCentre",
            ...this.commonFields("dataCentre"),
            dataCentre: self.dataCentre,
            sums,
            members: [...members],
            speeds: this.parts.speeds.reportToDataCentres(),
            failures: this.parts.failures.reportToDataCentres(),
        }, receivers);
    }

    private isDue(kind: ExchangeMessage["kind"], content: string): boolean {
        const isUrgent = this.isSmallFleet() && this.parts.hasQuarantineUpdates();
        return this.schedule.isDue(kind, content, isUrgent, this.now());
    }

    private commonFields(kind: ExchangeMessage["kind"]): CommonFields {
        const includesQuarantine = kind === "event" ? this.isSmallFleet() : this.repeatsQuarantine(kind);
        return encodeKnowledge(this.parts.self.daemon, this.parts, this.now(), includesQuarantine);
    }

    private repeatsQuarantine(kind: ExchangeMessage["kind"]): boolean {
        const { self, daemons, hasQuarantineUpdates } = this.parts;
        const local = daemons.all().filter(({ dataCentre }) => dataCentre === self.dataCentre).length;
        return this.schedule.repeatsQuarantine(kind, hasQuarantineUpdates(), local, this.now());
    }

    /** Returns whether each daemon can tell all others at once what is new about quarantined parts. */
    private isSmallFleet(): boolean {
        return this.parts.daemons.count() <= MOST_DAEMONS_AT_ONCE;
    }

    private scheduleEvent({ suspects, memberships }: Pick<EventMessage, "suspects" | "memberships">): void {
        if (this.pendingEvent !== undefined) {
            this.pendingEvent.suspects.push(...suspects);
            this.pendingEvent.memberships.push(...memberships);
            return;
        }
        this.pendingEvent = { suspects: [...suspects], memberships: [...memberships] };
        setTimeout(() => this.sendEvent(), EVENT_DELAY_MILLISECONDS).unref();
    }

    private sendEvent(): void {
        const event = this.pendingEvent;
        this.pendingEvent = undefined;
        if (event !== undefined) {
            const receivers = this.parts.daemons.others().map(({ daemon }) => daemon);
            this.send({ kind: "event", ...this.commonFields("event"), ...event }, receivers);
        }
    }

    private send(message: ExchangeMessage, receivers: readonly string[]): void {
        const { daemons, port } = this.parts;
        const addresses = receivers.flatMap(daemon => daemons.addressOf(daemon) ?? []);
        if (addresses.length > 0) {
            const bytes = encodeDatagram(message);
            addresses.forEach(address => this.socket.send(bytes, port, address));
        }
    }

    /** Takes in a message. An error in doing so would end the process. */
    private receiveGuarded(bytes: Buffer): void {
        try {
            this.receive(bytes);
        }
        catch (error) {
            this.parts.log.emit("taskFailed", { task: "load exchange", error });
        }
    }

    private receive(bytes: Buffer): void {
        const decoded = decodeExchangeMessage(bytes);
        if (decoded.kind === "malformed") {
            this.parts.log.emit("peerMessageRefused", { reason: decoded.reason, bytes: bytes.length });
            return;
        }
        const { message } = decoded;
        this.silence.recordHeard(message.daemon, this.now());
        const handle = this.handlers[message.kind] as (received: ExchangeMessage) => void;
        handle(message);
        if (hasKnowledge(message)) {
            applyKnowledge(message, this.parts, this.now());
        }
    }

    private receiveReport(
        { daemon, startedAt, sequence, takesRequests, loads, speeds, failures }: ReportMessage,
    ): void {
        const report = { daemon, startedAt, sequence, loads: decodeLoads(loads) };
        // A report that a later one has overtaken says nothing new.
        if (this.collector.receiveReport(report, takesRequests, this.now())) {
            this.parts.speeds.receiveReport(daemon, speeds);
            this.parts.failures.receiveReport(daemon, failures);
        }
    }

    private receiveDataCentre({ daemon, dataCentre, sums, members, speeds, failures }: DataCentreMessage): void {
        const statement = { dataCentre, collector: daemon, sums: decodeLoads(sums), members };
        this.collector.receiveStatement(statement, this.now());
        this.parts.speeds.receiveDataCentre(dataCentre, speeds);
        this.parts.failures.receiveDataCentre(dataCentre, failures);
    }

    private receiveStatement(message: StatementMessage): void {
        const { daemon, sums, members, ageMilliseconds, roster, slowTargets, configurationAgeMilliseconds } = message;
        const { statedLoads, speeds, daemons, self, onCollectorHeard, onUnknownDaemons } = this.parts;
        const now = this.now();
        const included = decodeMembers(members);
        statedLoads.merge({ collector: daemon, sums: decodeLoads(sums), included, ageMilliseconds }, now);
        if (roster !== undefined) {
            this.parts.roster.merge(daemon, roster, now);
            const unknown = roster.map(([name]) => name).filter(name => daemons.addressOf(name) === undefined);
            if (unknown.length > 0) {
                onUnknownDaemons(unknown);
            }
        }
        if (daemon !== this.collectors()[0]) {
            return;
        }
        speeds.receiveStatement(slowTargets);
        this.parts.failures.receiveStatement(message.failures);
        if (daemon !== self.daemon) {
            onCollectorHeard(configurationAgeMilliseconds);
        }
    }
}
