/** Range of the statuses of HTTP responses. Parsers take other numbers for statuses as well. */

/** Lower statuses announce a response. Node takes 101 for a response although no request asks for another protocol. */
const LOWEST_FINAL_STATUS = 200;
/** The standard defines no class of statuses above. */
const HIGHEST_FINAL_STATUS = 599;

/** A server sent a status that no answer has. What became of the request is unknown. */
export class InvalidStatusError extends Error {
    constructor(status: number) {
        super(`The status ${status} is none of a final response.`);
    }
}

/** Returns whether a response with this status is an answer. */
export function isFinalStatus(status: number): boolean {
    return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_FINAL_STATUS;
}

/** Returns whether the standard has no such status, neither of an answer nor of an announcement of one. */
export function isAboveStatusRange(status: number): boolean {
    return status > HIGHEST_FINAL_STATUS;
}
