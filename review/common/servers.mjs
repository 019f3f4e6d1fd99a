/** Stand-ins of the platform's servers: model servers that form groups by orders, and plain servers. */
import { createServer } from "node:http";

const HEARTBEAT_MILLISECONDS = 1_200;
/** An entry is removed after three intervals of silence. */
const MISSED_HEARTBEATS = 3;
const STALL_MILLISECONDS = 5_000;
const EVENT_MILLISECONDS = 40;
const SERVERS_TOPIC = "keyed.servers";

/** What all servers do: listen, register, send heartbeats, check who is meant. */
class Server {
    runs = [];
    sockets = new Set();
    beats = 0;
    draining = false;
    isAlive = false;

    constructor({ id, service, store, record, zone = "zone-a", slots = 18 }) {
        Object.assign(this, { id, service, store, record, zone, slots });
    }

    async start() {
        this.http = createServer((request, response) => void this.receive(request, response));
        this.http.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
            socket.on("error", () => undefined);
        });
        await new Promise(resolve => this.http.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.http.address().port}`;
        this.born = Date.now();
        this.isAlive = true;
        this.beat();
        this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
    }

    /** Loses this process for good: connections are reset, and the entry is removed after three intervals. */
    crash() {
        this.isAlive = false;
        clearInterval(this.heartbeat);
        this.http.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        setTimeout(() => this.store.put(SERVERS_TOPIC, this.id), MISSED_HEARTBEATS * HEARTBEAT_MILLISECONDS).unref();
    }

    /** Leaves as planned: reports that it drains, serves on for a time, and ends. */
    async leave(drainMilliseconds) {
        this.draining = true;
        this.beat();
        await new Promise(resolve => setTimeout(resolve, drainMilliseconds));
        this.close();
        this.store.put(SERVERS_TOPIC, this.id);
    }

    close() {
        this.isAlive = false;
        clearInterval(this.heartbeat);
        this.http.closeAllConnections();
        this.http.close();
    }

    entry() {
        return {
            backend: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: this.draining ? "draining" : "ready",
            coldRemainingMs: 0,
            born: this.born,
            ...this.describe(),
            sequence: this.beats,
        };
    }

    describe() {
        return {};
    }

    /** Writes the entry; `lateWrite` may take the call, which then gets no answer and is carried out later. */
    beat() {
        this.beats += 1;
        const entry = this.entry();
        if (this.lateWrite?.(entry) !== true) {
            this.store.put(SERVERS_TOPIC, this.id, entry);
        }
    }

    async receive(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const expected = request.headers["expect-instance"];
        const requestId = request.headers["request-id"];
        const echoed = requestId === undefined ? {} : { "Request-Id": requestId };
        if (request.url === "/report") {
            response.end(JSON.stringify(this.report()));
            return;
        }
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { ...echoed, "Not-Executed": "1" }).end();
            return;
        }
        if (request.url === "/order") {
            response.writeHead(this.order(JSON.parse(Buffer.concat(chunks)))).end();
            return;
        }
        this.serve(request, response, echoed);
    }
}

/** Plain server that answers at once. */
export class PlainServer extends Server {
    serve(request, response, echoed) {
        const id = request.headers["request-id"];
        this.runs.push({ id, at: performance.now() });
        this.record(`run ${id} at ${this.id} tenant ${request.headers.tenant}`);
        response.writeHead(200, { ...echoed, "Response-Stamp": `stamp-${this.id}-${id}` }).end(`done ${id}`);
    }
}

/** Model server, which runs requests while it is the head of an open group. */
export class ModelServer extends Server {
    sequence = 0;
    highestToken = 0;
    highestEpoch = 0;
    busy = false;
    running = 0;
    readyFor = new Set();
    violations = [];
    refusedOrders = [];

    constructor(options) {
        super(options);
        const { domain, models, fleet, staged = [] } = options;
        const { events = 12, eventMilliseconds = EVENT_MILLISECONDS } = options;
        Object.assign(this, { domain, models, fleet, staged, events, eventMilliseconds });
    }

    describe() {
        const { name, epoch, rank, state } = this.group ?? {};
        return {
            models: this.group === undefined ? [] : [{ name: this.group.model, version: 1, adapters: [] }],
            domain: this.domain,
            staged: this.staged,
            busy: this.busy,
            ...(this.group === undefined ? {} : { group: { name, epoch, rank, state } }),
        };
    }

    report() {
        const { sequence, running, born } = this;
        const counts = { waiting: 0, running, kvUsed: 0, kvTotal: 1_000_000, handles: 0, pace: 1 };
        return { stage: "both", ...this.describe(), born, sequence, ...counts };
    }

    order(order) {
        const status = this.decide(order);
        if (status === 412 || status === 409) {
            this.refusedOrders.push({ ...order, status });
        }
        this.record(`order ${JSON.stringify({ host: this.id, ...order, status })}`);
        return status;
    }

    decide(order) {
        if (order.fencingToken < this.highestToken) {
            return 412;
        }
        if (order.expected !== undefined && order.expected !== this.sequence) {
            return 409;
        }
        this.highestToken = Math.max(this.highestToken, order.fencingToken ?? 0);
        const handlers = {
            join: () => this.join(order),
            open: () => this.openGroup(order),
            close: () => this.closeGroup(order),
            leave: () => this.leaveGroup(order),
            stage: () => this.stage(order),
        };
        return handlers[order.operation]?.() ?? 400;
    }

    changed() {
        this.sequence += 1;
        this.beat();
    }

    isInGroup({ group, epoch }) {
        return this.group?.name === group && this.group.epoch === epoch;
    }

    join(order) {
        const { group, epoch, model, members } = order;
        if (epoch < this.highestEpoch) {
            return 412;
        }
        if (this.isInGroup(order)) {
            return this.group.members.join() === members.join() ? 200 : 412;
        }
        this.checkHeadOfOwnGroup(group);
        this.highestEpoch = epoch;
        const joined = { name: group, epoch, model, members, rank: members.indexOf(this.id), state: "joining" };
        const { warmS, loadS } = this.models.find(({ name }) => name === model);
        const isStaged = this.staged.includes(model);
        const load = loadS * (this.fleet.hasServed ? 1 : 0.1);
        const seconds = this.lastModel === model ? 0.2 : isStaged ? warmS : load;
        this.group = joined;
        this.changed();
        setTimeout(() => {
            if (this.group === joined && this.isAlive) {
                joined.state = "ready";
                this.lastModel = model;
                this.staged = [model];
                this.readyFor.add(identityOf(joined));
                this.beat();
            }
        }, seconds * 1_000);
        return 202;
    }

    /** TWO: no join of another group while the head of the own group is open or closing, or stands still. */
    checkHeadOfOwnGroup(next) {
        const head = this.group === undefined ? undefined : this.fleet.byId(this.group.members[0]);
        const isHeading = head?.group?.name === this.group?.name && head?.group?.epoch === this.group?.epoch;
        if (head?.isAlive && isHeading && ["open", "closing"].includes(head.group.state)) {
            const text =
                `${this.id} takes a join of ${next} while ${head.id}, head of ${this.group.name}, is ${head.group.state}`;
            this.violations.push(`TWO: ${text}`);
            this.record(`violation TWO ${text}`);
        }
    }

    openGroup(order) {
        const { group } = this;
        if (!this.isInGroup(order) || group.rank !== 0 || !["ready", "open"].includes(group.state)) {
            return 409;
        }
        if (group.state === "open") {
            return 200;
        }
        this.sequence += 1;
        setTimeout(() => {
            if (this.group === group && group.state === "ready" && this.isAlive) {
                group.state = "open";
                this.beat();
            }
        }, 300);
        return 202;
    }

    closeGroup(order) {
        if (!this.isInGroup(order) || this.group.state !== "open") {
            return 409;
        }
        this.group.state = "closing";
        this.changed();
        this.endClosing();
        return 202;
    }

    endClosing() {
        if (this.group?.state === "closing" && this.running === 0) {
            this.group.state = "ready";
            this.beat();
        }
    }

    leaveGroup(order) {
        if (!this.isInGroup(order)) {
            return 200;
        }
        this.group = undefined;
        this.changed();
        return 200;
    }

    stage({ model }) {
        if (this.staged.includes(model)) {
            return 200;
        }
        if (this.busy) {
            return 409;
        }
        this.busy = true;
        this.changed();
        const { loadS } = this.models.find(({ name }) => name === model);
        setTimeout(() => {
            this.busy = false;
            this.staged = [model];
            this.beat();
        }, loadS * (this.fleet.hasServed ? 1 : 0.1) * 1_000);
        return 202;
    }

    /** Whether all members are in the group of this head; work stands still otherwise. */
    isComplete(group) {
        return group.members.every(id => {
            const member = this.fleet.byId(id);
            return member?.isAlive && member.group?.name === group.name && member.group.epoch === group.epoch;
        });
    }

    serve(request, response, echoed) {
        const { group } = this;
        const id = request.headers["request-id"];
        if (group?.rank !== 0 || group.state !== "open") {
            const status = group?.rank === 0 ? 503 : 421;
            response.writeHead(status, { ...echoed, "Not-Executed": "1" }).end();
            return;
        }
        if (this.answerInstead?.(request, response, echoed) === true) {
            return;
        }
        this.running += 1;
        this.fleet.hasServed = true;
        let next = Number(request.headers["last-event-id"] ?? 0) + 1;
        let stoodStillAt;
        let hasBegun = false;
        const timer = setInterval(() => {
            if (this.group !== group || group.state === "broken") {
                response.destroy();
                return;
            }
            if (!this.isComplete(group)) {
                stoodStillAt ??= performance.now();
                if (performance.now() - stoodStillAt > STALL_MILLISECONDS) {
                    group.state = "broken";
                    this.beat();
                }
                return;
            }
            stoodStillAt = undefined;
            if (!hasBegun) {
                hasBegun = true;
                this.begin(group, id);
                const type = { "Content-Type": "text/event-stream" };
                response.writeHead(200, { ...echoed, ...type, "Response-Stamp": `stamp-${this.id}-${id}` });
            }
            response.write(`id: ${next}\ndata: piece ${next}\n\n`);
            next += 1;
            if (next > this.events) {
                clearInterval(timer);
                response.end();
            }
        }, this.eventMilliseconds);
        response.once("close", () => {
            clearInterval(timer);
            this.running -= 1;
            this.endClosing();
        });
    }

    /** PARTIAL: all members must have been ready under this name, epoch and list. */
    begin(group, id) {
        this.runs.push({ id, at: performance.now() });
        this.record(`run ${id} at ${this.id} in ${group.name}`);
        group.members.filter(member => this.fleet.byId(member)?.readyFor.has(identityOf(group)) !== true)
            .forEach(member => {
                this.violations.push(`PARTIAL: ${group.name} runs ${id} although ${member} was never ready`);
            });
    }
}

function identityOf({ name, epoch, members }) {
    return [name, epoch, ...members].join();
}
