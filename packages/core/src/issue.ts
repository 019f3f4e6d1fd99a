/** A finding: what is wrong, where, and with which stable code. */
import { z } from "zod";

/** Schema of the place of a finding in a file. Row and column count from 1. */
export const placeSchema = z.object({
    file: z.string(),
    row: z.number().int().positive().optional(),
    column: z.string().optional(),
});

/** Schema of a finding. `path` names the field inside the value that was checked. */
export const issueSchema = z.object({
    code: z.string(),
    path: z.array(z.union([z.string(), z.number()])),
    message: z.string(),
    place: placeSchema.optional(),
});

/** Place of a finding in a file. */
export type Place = z.infer<typeof placeSchema>;

/** A typed finding. */
export type Issue = z.infer<typeof issueSchema>;

/** Error that carries findings; thrown by the `parse` half of each pair of functions. */
export class IssuesError extends Error {
    constructor(readonly issues: readonly Issue[]) {
        super(formatIssues(issues));
        this.name = "IssuesError";
    }
}

/** Makes a finding. */
export function issue(code: string, path: Issue["path"], message: string, place?: Place): Issue {
    return place === undefined ? { code, path, message } : { code, path, message, place };
}

/** Converts the findings of a zod error, all at the same place. */
export function issuesFromZod(error: z.ZodError, place?: Place): Issue[] {
    return error.issues.map(found =>
        issue(found.code, found.path.map(part => typeof part === "number" ? part : String(part)), found.message, place)
    );
}

/** Formats findings for a person, one a line. */
export function formatIssues(issues: readonly Issue[]): string {
    return issues.map(formatIssue).join("\n");
}

function formatIssue({ code, path, message, place }: Issue): string {
    const location = place === undefined ? [] : [
        place.file,
        ...(place.row === undefined ? [] : [`row ${place.row}`]),
        ...(place.column === undefined ? [] : [`column ${place.column}`]),
    ];
    const subject = path.length === 0 ? [] : [path.join(".")];
    return [...location, ...subject, `${message} (${code})`].join(": ");
}
