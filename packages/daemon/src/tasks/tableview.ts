/** View of the current table, indexed once for each change of the table. */
import {
    callFor,
    type FoldState,
    indexTable,
    rowFor,
    ruleFor,
    tableEntries,
    type TableState,
    teamByKeyHash,
} from "@damaskvale/core";
import type { TableView } from "../ports/tableview.js";
import { createPublished, type Published } from "./published.js";

/** Creates the view of one state of the table. */
export function createTableView({ state, nextOffset }: FoldState<TableState>): TableView {
    const rows = tableEntries(state).map(({ key, revision, row }) => ({ key, revision, row }));
    const index = indexTable(rows);
    return {
        nextOffset,
        rows,
        model: name => rowFor(index, "model", name),
        team: name => rowFor(index, "team", name),
        teamByKeyHash: keyHash => teamByKeyHash(index, keyHash),
        target: name => rowFor(index, "target", name),
        service: name => rowFor(index, "service", name),
        call: (service, method, path) => callFor(index, service, method, path),
        rule: (model, team, target) => ruleFor(index, model, team, target),
    };
}

/** Publishes the view of a followed table. An entry that changes no row updates only the offset. */
export function publishTableView(folded: Published<FoldState<TableState>>): Published<TableView> {
    const published = createPublished(createTableView(folded.current()));
    let { rows } = folded.current().state;
    folded.subscribe(next => {
        const isChanged = next.state.rows !== rows;
        rows = next.state.rows;
        published.publish(
            isChanged ? createTableView(next) : { ...published.current(), nextOffset: next.nextOffset },
        );
    });
    return published;
}
