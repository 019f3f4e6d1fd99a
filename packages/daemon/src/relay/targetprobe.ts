/** Probe of one target: asks an engine for its report, and opens a connection to a plain target. */
import type { Target } from "@damaskvale/core";
import { connect } from "node:net";
import type { EngineControl } from "../ports/enginecontrol.js";

/** Resolves to whether the target answered. */
export async function probeTarget(
    target: Target,
    engines: Pick<EngineControl, "report">,
    connectTimeoutMilliseconds: number,
): Promise<boolean> {
    return target.domain === undefined
        ? acceptsConnection(target.address, connectTimeoutMilliseconds)
        : await engines.report(target) !== undefined;
}

function acceptsConnection(address: string, timeoutMilliseconds: number): Promise<boolean> {
    const [host = "", port = ""] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        const end = (isAccepted: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isAccepted);
        };
        const timer = setTimeout(() => end(false), timeoutMilliseconds);
        socket.once("connect", () => end(true));
        socket.once("error", () => end(false));
    });
}
