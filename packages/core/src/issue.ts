/** Issues: what is wrong, where it is, and a stable code. */
import { z } from "zod";

/** Schema of the place of an issue in a file. Rows count from 1; a column is given by name. */
export const placeSchema = z.object({
    file: z.string(),
    row: z.number().int().positive().optional(),
    column: z.string().optional(),
});

/** Schema of an issue. `path` is the path of the field within the validated value. */
export const issueSchema = z.object({
    code: z.string(),
    path: z.array(z.union([z.string(), z.number()])),
    message: z.string(),
    place: placeSchema.optional(),
});

/** Place of an issue in a file. */
export type Place = z.infer<typeof placeSchema>;

/** A problem with a value or a file. */
export type Issue = z.infer<typeof issueSchema>;

/** Error with a list of issues. Thrown by `parse` functions; their `safeParse` variants return the issues. */
export class IssuesError extends Error {
    constructor(readonly issues: readonly Issue[]) {
        super(formatIssues(issues));
        this.name = "IssuesError";
    }
}

/** Creates an issue. */
export function issue(code: string, path: Issue["path"], message: string, place?: Place): Issue {
    return place === undefined ? { code, path, message } : { code, path, message, place };
}

/** Converts the issues of a zod error, all with the same place. */
export function issuesFromZod(error: z.ZodError, place?: Place): Issue[] {
    return error.issues.map(zodIssue =>
        issue(
            zodIssue.code,
            zodIssue.path.map(segment => typeof segment === "number" ? segment : String(segment)),
            zodIssue.message,
            place,
        )
    );
}

/** Formats issues as text, one per line. */
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
