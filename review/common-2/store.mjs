/** Stand-in of the platform's store: a log with keyed topics, long-polling reads and consumer groups. */
import { createServer } from "node:http";

const PARTITIONS = 8;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

function encodeKeyed(key, value) {
    const name = Buffer.from(key);
    return Buffer.concat([Buffer.from([name.length]), name, value ?? Buffer.alloc(0)]);
}

function decodeKeyed(record) {
    const end = 1 + record[0];
    return { key: record.toString("utf8", 1, end), value: record.length === end ? undefined : record.subarray(end) };
}

function encodeRecords(records) {
    return Buffer.concat(records.flatMap(record => {
        const length = Buffer.alloc(LENGTH_BYTES);
        length.writeUInt32BE(record.length);
        return [length, record];
    }));
}

async function bodyOf(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** The store; it runs in the process of the test. */
export class Store {
    topics = new Map();
    groups = new Map();
    waiting = new Set();
    server = createServer((request, response) => {
        this.answer(request, response).catch(() => response.destroy());
    });

    async listen() {
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Writes a value as JSON, or deletes the key without one. */
    put(topic, key, value) {
        this.append(topic, [encodeKeyed(key, value === undefined ? undefined : Buffer.from(JSON.stringify(value)))]);
    }

    recordsOf(topic) {
        const records = this.topics.get(topic) ?? [];
        this.topics.set(topic, records);
        return records;
    }

    append(topic, records) {
        this.recordsOf(topic).push(...records);
        [...this.waiting].forEach(wake => wake());
    }

    async answer(request, response) {
        const { pathname, searchParams } = new URL(request.url, "http://store");
        const body = await bodyOf(request);
        const handler = this.handlers[pathname];
        if (handler === undefined) {
            response.writeHead(404).end();
            return;
        }
        await handler(searchParams, body, response);
    }

    handlers = {
        "/log-newest": (query, body, response) => {
            const records = this.recordsOf(query.get("topic"));
            const newest = new Map();
            records.forEach((record, offset) => {
                const { key, value } = decodeKeyed(record);
                newest.set(key, { key, value, offset });
            });
            const items = [...newest.values()].filter(({ value }) => value !== undefined)
                .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
            response.end(JSON.stringify({ items, hasMore: false, end: records.length }));
        },
        "/log-read": async (query, body, response) => {
            const records = this.recordsOf(query.get("topic"));
            const from = Number(query.get("from"));
            await this.waitFor(() => records.length > from, Number(query.get("waitMs") ?? 0));
            const offsets = Buffer.alloc(2 * OFFSET_BYTES);
            offsets.writeBigUInt64BE(BigInt(records.length));
            response.end(Buffer.concat([offsets, encodeRecords(records.slice(from))]));
        },
        "/log-append": (query, body, response) => {
            const topic = query.get("topic");
            const offset = this.recordsOf(topic).length;
            for (let at = 0; at < body.length; at += LENGTH_BYTES + body.readUInt32BE(at)) {
                this.append(topic, [body.subarray(at + LENGTH_BYTES, at + LENGTH_BYTES + body.readUInt32BE(at))]);
            }
            response.end(JSON.stringify({ offset, end: this.recordsOf(topic).length }));
        },
        "/log-join": (query, body, response) => {
            const call = JSON.parse(body.toString());
            const group = this.groups.get(call.group) ?? { generation: 0, members: new Map() };
            this.groups.set(call.group, group);
            const now = performance.now();
            [...group.members].filter(([, seen]) => now - seen > call.ttlMs).forEach(([member]) => {
                group.members.delete(member);
                group.generation += 1;
            });
            group.generation += group.members.has(call.member) ? 0 : 1;
            group.members.set(call.member, now);
            const names = [...group.members.keys()].sort();
            const parts = Array.from({ length: PARTITIONS }, (_, index) => index)
                .filter(index => names[index % names.length] === call.member)
                .map(index => [call.topics[0], index, 0]);
            response.end(JSON.stringify({ generation: group.generation, parts }));
        },
        "/log-leave": (query, body, response) => {
            const call = JSON.parse(body.toString());
            const group = this.groups.get(call.group);
            if (group?.members.delete(call.member)) {
                group.generation += 1;
            }
            response.end("{}");
        },
    };

    waitFor(holds, milliseconds) {
        return new Promise(resolve => {
            const end = () => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const wake = () => {
                if (holds()) {
                    end();
                }
            };
            const timer = setTimeout(end, milliseconds);
            this.waiting.add(wake);
            wake();
        });
    }
}
