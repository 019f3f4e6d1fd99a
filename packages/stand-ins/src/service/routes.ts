/** HTTP routes of the service stand-in: fee receipts and subscription changes. */
import { setTimeout as delay } from "node:timers/promises";
import { hashBody } from "../shared/journal.js";
import {
    createErrorReply,
    type Reply,
    type Route,
    type StandInContext,
    type StandInRequest,
} from "../shared/server.js";

/** Executed change: a recorded receipt or a changed subscription. */
interface Change {
    readonly number: number;
    readonly attempt?: string;
    readonly key?: string;
    readonly value: unknown;
}

/** Creates the routes. `workMilliseconds` is the duration of one change. */
export function serviceRoutes(workMilliseconds: number, { faults, journal }: StandInContext): Route[] {
    const itemsByCollection = new Map<string, Change[]>();

    const list = ({ parameters: [collection] }: StandInRequest): Reply => ({
        status: 200,
        body: { items: itemsByCollection.get(collection!) ?? [] },
    });
    const change = async (request: StandInRequest): Promise<Reply> => {
        const collection = request.parameters[0]!;
        const attempt = header(request, "x-attempt-id");
        const key = header(request, "idempotency-key");
        const value = parseValue(request.body);
        if (value === undefined) {
            return createErrorReply(400, "malformed_body", "the body is not JSON");
        }
        const entry = journal.start("change", {
            attempt,
            key,
            bodyHash: hashBody(request.body),
            detail: { collection, method: request.method },
        });
        const items = itemsByCollection.get(collection) ?? [];
        itemsByCollection.set(collection, items);
        const item: Change = { number: items.length + 1, attempt, key, value };
        items.push(item);
        await delay(workMilliseconds);
        await faults.waitUntilCleared("freeze", request.method, request.path);
        journal.finish(entry, "done");
        return { status: 201, body: { collection, number: item.number, value } };
    };

    const collection = /^\/(receipts|subscriptions)(?:\/.*)?$/;
    return [
        { method: "GET", pattern: collection, handle: list },
        { method: "POST", pattern: collection, handle: change },
        { method: "PUT", pattern: collection, handle: change },
    ];
}

function header({ headers }: StandInRequest, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" ? value : undefined;
}

function parseValue(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
