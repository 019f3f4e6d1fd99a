/** Requests between daemons on behalf of the operator API. */
import type { PeerNetwork } from "../ports/peers.js";
import type { PeerRequests } from "../tasks/peerrequests.js";
import { fetchDaemonStatus, readOwnStatus, type StatusSources } from "./status.js";

/** Fetches an explanation from the daemon that served the request: its name is the id without incarnation and counter. */
export async function fetchExplanationFromOwner(peerRequests: PeerRequests, requestId: string): Promise<unknown> {
    const owner = requestId.split("-").slice(0, -2).join("-");
    return (await peerRequests.send<"fetchExplanation">(owner, { kind: "fetchExplanation", requestId }))?.explanation;
}

/** Handles requests of other daemons about this daemon, and relays requests about daemons that they have no link to. */
export function handlePeerRequests(
    network: PeerNetwork,
    sources: StatusSources,
    explain: (requestId: string) => unknown,
): void {
    network.onMessage("fetchStatus", (from, { request, daemon = sources.daemon }) => {
        const reading = daemon === sources.daemon ? readOwnStatus(sources) : fetchDaemonStatus(sources, daemon);
        void Promise.resolve(reading).then(status => network.send(from, { kind: "status", request, status }));
    });
    network.onMessage(
        "fetchExplanation",
        (from, { request, requestId }) =>
            network.send(from, { kind: "explanation", request, explanation: explain(requestId) }),
    );
}
