/**
 * Stand-in of the platform's store: keyed topics with long-polling reads, and consumer groups. It follows PROTOCOL.md,
 * "The platform's metadata store". Each daemon gets an address of its own, so that the store can turn away single machines.
 */
import { createServer } from "node:http";

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const PARTITIONS = 8;

/** Store that runs in this process. */
export class Store {
    topics = new Map();
    groups = new Map();
    waiting = new Set();
    doors = [];

    /** Listens at one more address; `mode` of the result is "serve", "busy", "reset" or "silent". */
    async open() {
        const door = { mode: "serve", sockets: new Set(), reads: new Map() };
        door.server = createServer((request, response) => void this.handle(door, request, response));
        door.server.on("connection", socket => {
            door.sockets.add(socket);
            socket.once("close", () => door.sockets.delete(socket));
        });
        await new Promise(resolve => door.server.listen(0, "127.0.0.1", resolve));
        door.address = `127.0.0.1:${door.server.address().port}`;
        this.doors.push(door);
        return door;
    }

    /** Turns the machine behind a door away, or serves it again. A read that waits gets no answer any more. */
    setMode(door, mode) {
        door.mode = mode;
        if (mode !== "serve") {
            [...this.waiting].filter(read => read.door === door).forEach(read => read.drop());
        }
        if (mode === "reset") {
            door.sockets.forEach(socket => socket.resetAndDestroy());
        }
    }

    close() {
        this.doors.forEach(({ server }) => {
            server.closeAllConnections();
            server.close();
        });
    }

    recordsOf(topic) {
        const records = this.topics.get(topic) ?? [];
        this.topics.set(topic, records);
        return records;
    }

    append(topic, records) {
        const known = this.recordsOf(topic);
        known.push(...records);
        [...this.waiting].filter(read => read.topic === topic).forEach(read => read.wake());
        return known.length;
    }

    /** Writes the newest value of a key as JSON, or drops the key. */
    put(topic, key, value) {
        const name = Buffer.from(key);
        const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
        this.append(topic, [Buffer.concat([Buffer.from([name.length]), name, bytes])]);
    }

    async handle(door, request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        if (door.mode === "silent") {
            return;
        }
        if (door.mode === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        response.setHeader("Store-Era", "1");
        if (door.mode === "busy") {
            response.writeHead(503).end();
            return;
        }
        const url = new URL(request.url, "http://store");
        const calls = {
            "/log-read": () => this.read(door, url.searchParams, response),
            "/log-newest": () => this.newest(url.searchParams, response),
            "/log-append": () => this.appendCall(url.searchParams, Buffer.concat(chunks), response),
            "/log-join": () => this.join(JSON.parse(Buffer.concat(chunks)), response),
            "/log-leave": () => this.leave(JSON.parse(Buffer.concat(chunks)), response),
        };
        const call = calls[url.pathname];
        if (call === undefined) {
            response.writeHead(404).end();
            return;
        }
        call();
    }

    read(door, query, response) {
        const topic = query.get("topic");
        const from = Number(query.get("from"));
        door.reads.set(topic, (door.reads.get(topic) ?? 0) + 1);
        const answer = () => {
            const records = this.recordsOf(topic);
            if (from > records.length) {
                response.writeHead(410).end(JSON.stringify({ first: 0 }));
                return;
            }
            const offsets = Buffer.alloc(2 * OFFSET_BYTES);
            offsets.writeBigUInt64BE(BigInt(records.length), 0);
            const framed = records.slice(from).flatMap(record => {
                const length = Buffer.alloc(LENGTH_BYTES);
                length.writeUInt32BE(record.length);
                return [length, record];
            });
            response.end(Buffer.concat([offsets, ...framed]));
        };
        if (this.recordsOf(topic).length !== from || Number(query.get("waitMs") ?? 0) === 0) {
            answer();
            return;
        }
        const end = () => {
            clearTimeout(read.timer);
            this.waiting.delete(read);
        };
        const finish = () => {
            end();
            answer();
        };
        const read = { topic, door, drop: end, wake: finish, timer: setTimeout(finish, Number(query.get("waitMs"))) };
        this.waiting.add(read);
    }

    newest(query, response) {
        const records = this.recordsOf(query.get("topic"));
        const newest = new Map();
        records.forEach((record, offset) => {
            const end = 1 + record[0];
            newest.set(record.toString("utf8", 1, end), { value: record.subarray(end), offset });
        });
        const after = query.get("after");
        const items = [...newest].filter(([, { value }]) => value.length > 0)
            .map(([key, { value, offset }]) => ({ key, value: value.toString("base64"), offset }))
            .sort((left, right) => left.key < right.key ? -1 : 1)
            .filter(({ key }) => after === null || key > after);
        response.end(JSON.stringify({ items, hasMore: false, end: records.length }));
    }

    appendCall(query, body, response) {
        const topic = query.get("topic");
        if (topic === "keyed.op" || topic === "keyed.servers") {
            response.writeHead(403).end();
            return;
        }
        const records = [];
        for (let at = 0; at < body.length; at += LENGTH_BYTES + body.readUInt32BE(at)) {
            records.push(body.subarray(at + LENGTH_BYTES, at + LENGTH_BYTES + body.readUInt32BE(at)));
        }
        const offset = this.recordsOf(topic).length;
        const end = this.append(topic, records);
        response.end(JSON.stringify({ offset, end }));
    }

    /** Drops the members of a group that have sent nothing for their time, and deals the partitions evenly. */
    deal(group, now) {
        [...group.members].filter(([, { seenAt, ttlMs }]) => now - seenAt > ttlMs)
            .forEach(([name]) => this.drop(group, name));
        const names = [...group.members.keys()].sort();
        for (let part = 0; part < PARTITIONS; part += 1) {
            const wanted = names[part % names.length];
            const owner = group.owners.get(part);
            // A partition is handed over once its holder has joined with the generation in which it is no longer listed.
            const mayMove = owner === undefined || owner === wanted
                || (group.members.get(owner)?.joinedWith ?? group.generation) >= group.generation;
            if (mayMove) {
                group.owners.set(part, wanted);
            }
        }
    }

    drop(group, name) {
        group.members.delete(name);
        group.generation += 1;
        [...group.owners].filter(([, owner]) => owner === name).forEach(([part]) => group.owners.delete(part));
    }

    join({ group: name, member, topics, ttlMs, generation }, response) {
        const group = this.groups.get(name) ?? { generation: 0, members: new Map(), owners: new Map() };
        this.groups.set(name, group);
        const now = performance.now();
        if (!group.members.has(member)) {
            group.generation += 1;
        }
        group.members.set(member, { seenAt: now, ttlMs, joinedWith: generation });
        this.deal(group, now);
        const names = [...group.members.keys()].sort();
        const parts = [...group.owners]
            .filter(([part, owner]) => owner === member && names[part % names.length] === member)
            .map(([part]) => [topics[0], part, 0]);
        response.end(JSON.stringify({ generation: group.generation, parts }));
    }

    leave({ group: name, member }, response) {
        const group = this.groups.get(name);
        if (group?.members.has(member)) {
            this.drop(group, member);
        }
        response.end("{}");
    }
}
