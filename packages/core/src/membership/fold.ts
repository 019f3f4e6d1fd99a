/** Fold of the members stream, in which daemons announce their addresses to daemons that know no peer yet. */
import { z } from "zod";
import { issue } from "../issue.js";
import type { FoldDefinition } from "../stream/types.js";

/** Maximum number of announcements. The oldest are dropped, because replaced daemons do not remove theirs. */
export const MAXIMUM_ANNOUNCEMENTS = 1_024;

const announcementSchema = z.object({
    daemon: z.string().min(1).max(100),
    dataCentre: z.string().min(1).max(100),
    address: z.string().min(1).max(200),
    incarnation: z.string().min(1).max(200),
});

/** Schema of a record body of the members stream. */
export const membersBodySchema = announcementSchema.extend({ kind: z.literal("announce") });

/** Schema of the state: the newest announcement of each daemon, oldest first. */
export const membersStateSchema = z.object({ announcements: z.array(announcementSchema) });

/** Record body of the members stream. */
export type MembersBody = z.infer<typeof membersBodySchema>;
/** State of the members stream. */
export type MembersState = z.infer<typeof membersStateSchema>;

/** Fold of the members stream. A daemon may announce only itself. */
export const membersFold: FoldDefinition<MembersState, MembersBody> = {
    name: "members",
    body: membersBodySchema,
    state: membersStateSchema,
    initial: () => ({ announcements: [] }),
    apply: (state, body, { author }) => {
        if (body.daemon !== author.daemon || body.incarnation !== author.incarnation) {
            const cause = issue("not_author", ["daemon"], `${author.daemon} announces ${body.daemon}`);
            return { kind: "rejected", issue: cause };
        }
        const { daemon, dataCentre, address, incarnation } = body;
        const others = state.announcements.filter(announcement => announcement.daemon !== daemon);
        const announcements = [...others, { daemon, dataCentre, address, incarnation }].slice(-MAXIMUM_ANNOUNCEMENTS);
        return { kind: "accepted", state: { announcements } };
    },
};
