/** Orders to the engines of hosts. */

/** Why a group is ended. */
export type EndReason =
    | "member-lost"
    | "member-missing"
    | "head-lost"
    | "head-missing"
    | "broken"
    | "not-joined"
    | "outdated"
    | "member-draining"
    | "head-lapsed"
    | "reassigned";

/** An order to the engine of one host. */
export type EngineOrder =
    | {
        readonly kind: "join";
        readonly host: string;
        readonly group: string;
        readonly epoch: number;
        readonly model: string;
        /** Ids of all members; the first one is the head. */
        readonly members: readonly string[];
    }
    | { readonly kind: "open"; readonly host: string; readonly group: string; readonly epoch: number; }
    | {
        readonly kind: "close";
        readonly host: string;
        readonly group: string;
        readonly epoch: number;
        /** Whether requests in progress are finished or dropped. */
        readonly work: "finish" | "drop";
        readonly reason: EndReason;
    }
    | {
        readonly kind: "leave";
        readonly host: string;
        readonly group: string;
        readonly epoch: number;
        readonly reason: EndReason;
    }
    | { readonly kind: "stage"; readonly host: string; readonly model: string; };

/** Kind of an order. */
export type EngineOrderKind = EngineOrder["kind"];
