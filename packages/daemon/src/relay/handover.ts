/**
 * Hands a request to another daemon, because this one reaches no target, and passes that daemon's response on as it arrives.
 * The other daemon admits it, counts it and relays it as its own; it never hands it on.
 */
import type { DaemonPresence } from "../ports/presence.js";
import type { ResponseHead } from "../ports/relayprotocol.js";
import { RelayTask, type StoppableRelay } from "./relaytask.js";
import { type RelayParts, type RequestContext, requestLogFields } from "./requestcontext.js";
import { NOT_RUN_STATUSES, writePaced, writeResponseHead } from "./responses.js";
import type { TargetConnections, TargetExchange } from "./targetconnections.js";

/** Way to the other daemons. */
export interface HandOverPath {
    readonly connections: TargetConnections;
    /** Port at which every daemon takes requests of others. */
    readonly port: number;
    /** Returns a daemon that takes requests, except those named. */
    readonly choose: (excluded: readonly string[]) => DaemonPresence | undefined;
}

/** How one request is handed over. */
export interface HandOverOptions extends HandOverPath {
    /** Whether a target may have run it for this daemon. */
    readonly mayHaveRun: boolean;
}

/** A request that is handed over. */
export interface HandOver extends StoppableRelay {
    start(): void;
}

/** `Retry-After` of a request that no other daemon took. */
const REFUSED_RETRY_AFTER_MILLISECONDS = 500;
/** Daemons that are tried for one request, as long as none was sent it. */
const MAXIMUM_DAEMONS = 2;

/** Creates the hand-over of a request; `onEnded` is called exactly once after its start, when the request has ended. */
export function createHandOver(
    context: RequestContext,
    parts: RelayParts,
    options: HandOverOptions,
    onEnded: () => void,
): HandOver {
    return new HandOverTask(context, { ...parts, connections: options.connections }, options, onEnded);
}

class HandOverTask extends RelayTask implements HandOver {
    private exchange: TargetExchange | undefined;
    private head: ResponseHead | undefined;
    /** Whether bytes of the request were written to the daemon that was chosen last. */
    private isSent = false;

    constructor(
        context: RequestContext,
        parts: RelayParts,
        private readonly options: HandOverOptions,
        onEnded: () => void,
    ) {
        super(context, parts, onEnded);
        this.mayHaveRun = options.mayHaveRun;
        context.response.on("drain", () => this.exchange?.resume());
    }

    start(): void {
        const daemon = this.options.choose(this.tried);
        if (daemon === undefined || this.tried.length >= MAXIMUM_DAEMONS) {
            this.giveUp("cut-off", REFUSED_RETRY_AFTER_MILLISECONDS);
            return;
        }
        this.send(daemon);
    }

    private send({ daemon, ip }: DaemonPresence): void {
        const { context, parts } = this;
        const { request, body, deadlineAt } = context;
        const remainingMilliseconds = deadlineAt - parts.clock.monotonic();
        this.tried.push(daemon);
        parts.log.emit("requestHandedOver", { ...requestLogFields(context), to: daemon });
        this.exchange = parts.connections.send(
            `${ip}:${this.options.port}`,
            {
                method: request.method,
                path: request.path,
                headers: parts.protocol.encodeForDaemon(request, { remainingMilliseconds }),
                body,
                onNewConnection: context.admitted.route.kind === "once",
            },
            {
                sent: () => {
                    this.isSent = true;
                },
                head: head => this.receiveHead(head),
                data: chunk => writePaced(context.response, chunk, this.exchange),
                ended: () => this.receiveEnd(),
                failed: error => this.receiveFailure(error),
            },
        );
    }

    private receiveHead(head: ResponseHead): void {
        this.head = head;
        if (this.mayHaveRun && NOT_RUN_STATUSES.has(head.status)) {
            this.exchange?.cancel();
            this.giveUp("cut-off", REFUSED_RETRY_AFTER_MILLISECONDS);
            return;
        }
        const { forwarded } = this.parts.protocol.decodeResponse(head);
        const length = head.headers["content-length"];
        writeResponseHead(this.context.response, head, [
            ...forwarded,
            ...(length === undefined ? [] : ["Content-Length", length]),
        ]);
    }

    private receiveEnd(): void {
        this.context.response.end();
        this.finish(`handed over: status ${this.head?.status}`, { daemon: this.tried.at(-1) });
    }

    private receiveFailure(error: Error): void {
        if (this.isFinished) {
            return;
        }
        this.mayHaveRun ||= this.isSent;
        this.parts.log.emit("attemptFailed", {
            ...requestLogFields(this.context),
            daemon: this.tried.at(-1),
            reason: error.message,
            sent: this.isSent,
        });
        if (this.head === undefined && !this.mayHaveRun) {
            this.start();
            return;
        }
        this.giveUp("cut-off", REFUSED_RETRY_AFTER_MILLISECONDS);
    }

    protected mayRepeat(): boolean {
        return false;
    }

    protected cancelAttempt(): void {
        this.exchange?.cancel();
    }
}
