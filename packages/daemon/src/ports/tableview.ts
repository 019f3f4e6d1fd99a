/** Port to the table in force, as the request path reads it. */
import type { Row, RowOf } from "@damaskvale/core";

/** Immutable view of the table at one offset. */
export interface TableView {
    /** Offset below which all configuration entries are in force. */
    readonly nextOffset: number;
    readonly rows: readonly { readonly key: string; readonly revision: number; readonly row: Row; }[];
    model(name: string): RowOf<"model"> | undefined;
    team(name: string): RowOf<"team"> | undefined;
    /** Team that owns the API key with this SHA-256 hash in hex. */
    teamByKeyHash(keyHash: string): RowOf<"team"> | undefined;
    target(name: string): RowOf<"target"> | undefined;
    service(name: string): RowOf<"service"> | undefined;
    /** Most specific call row for a request to a service; without one, only GET, HEAD and OPTIONS are repeatable. */
    call(service: string, method: string, path: string): RowOf<"call"> | undefined;
    /** Most specific rule for a model, team and target. */
    rule(model: string, team: string, target: string): RowOf<"rule"> | undefined;
}
