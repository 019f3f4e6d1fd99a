/** Questions between daemons on behalf of the operators' interface. */
import type { PeerNetwork } from "../ports/peers.js";
import type { PeerRequests } from "../tasks/peerrequests.js";
import { fetchDaemonStatus, readOwnStatus, type StatusSources } from "./status.js";

/** Asks the daemon that served the request; its name is the request id without the incarnation and the counter. */
export async function fetchExplanationFromOwner(questions: PeerRequests, requestId: string): Promise<unknown> {
    const owner = requestId.split("-").slice(0, -2).join("-");
    return (await questions.send<"fetchExplanation">(owner, { kind: "fetchExplanation", requestId }))?.explanation;
}

/** Answers the questions of other daemons about this one, and passes on those about daemons without a link. */
export function handlePeerRequests(
    network: PeerNetwork,
    sources: StatusSources,
    explain: (requestId: string) => unknown,
): void {
    network.receive("fetchStatus", (from, { request, daemon = sources.daemon }) => {
        const reading = daemon === sources.daemon ? readOwnStatus(sources) : fetchDaemonStatus(sources, daemon);
        void Promise.resolve(reading).then(status => network.send(from, { kind: "status", request, status }));
    });
    network.receive(
        "fetchExplanation",
        (from, { request, requestId }) =>
            network.send(from, { kind: "explanation", request, explanation: explain(requestId) }),
    );
}
