/**
 * Identity of a request by its content: what a target runs, whoever relays it. Attempts of a caller have their own ids,
 * deadlines and daemons, so that only the content shows that a request comes again.
 */
import { requestSubject } from "@damaskvale/core";
import { createHash } from "node:crypto";
import type { CallerRequest } from "../ports/relayprotocol.js";

/** Content of a request. */
export interface RequestContent {
    readonly request: Pick<CallerRequest, "method" | "path" | "model" | "prompt">;
    /** Name of the team that sent it, if the route asks for one. */
    readonly team?: string;
    /** Service that runs it. */
    readonly service: string;
    readonly body: Buffer;
}

const DIGEST_CHARACTERS = 32;

/**
 * Returns the identity, which contains a digest only. Teams and services are part of it, so that the request of one team, or
 * at one service of a split route, is not taken for that of another.
 */
export function identifyRequest({ request, team, service, body }: RequestContent): string {
    const { method, path, model, prompt } = request;
    const digest = createHash("sha256")
        .update(JSON.stringify([service, team ?? "", method, path, model ?? "", prompt ?? ""]))
        .update(body)
        .digest("hex");
    return requestSubject(digest.slice(0, DIGEST_CHARACTERS));
}
