/** Lists the slow targets for operators: `GET /slow-targets`, slowest first. */
import type { SharedSpeeds } from "../peers/sharedspeeds.js";
import type { OperatorHandler } from "./metrics.js";
import type { RelayState } from "./statetypes.js";

const LIST_PATH = "/slow-targets";

/** Creates the handler. */
export function createSlowTargetsHandler(
    speeds: Pick<SharedSpeeds, "slowTargets">,
    state: Pick<RelayState, "targetById">,
): OperatorHandler {
    return ({ method, url }, response) => {
        if (url !== LIST_PATH) {
            return false;
        }
        if (method !== "GET") {
            response.writeHead(405).end();
            return true;
        }
        const targets = speeds.slowTargets().map(({ target: id, slowness }) => {
            const target = state.targetById(id);
            return {
                target: id,
                slowness,
                service: target?.service,
                dataCentre: target?.dataCentre,
                address: target?.address,
                group: target?.membership?.group,
            };
        });
        response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify({ targets }));
        return true;
    };
}
