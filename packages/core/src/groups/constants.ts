/** Time limits of replica groups, in milliseconds. */

/** Duration of a holder's lease on all groups that it holds. */
export const LEASE_MILLISECONDS = 10_000;
/** Time between two renewals of a lease. A third of the lease leaves room for two failed renewals. */
export const RENEWAL_INTERVAL_MILLISECONDS = LEASE_MILLISECONDS / 3;
/** Deadline of an order. An order without an answer by then is abandoned, and its effect is read from reports. */
export const ORDER_DEADLINE_MILLISECONDS = 1_000;
/** Added to the lease and the order deadline before a takeover; covers drift between monotonic clocks. */
export const LEASE_MARGIN_MILLISECONDS = 1_000;
/** How long a member may be missing before its group is dissolved. */
export const MEMBER_LOSS_GRACE_MILLISECONDS = 5_000;
/** How long daemons may still send requests to a group after one of its members is listed as leaving. */
export const RETIREMENT_NOTICE_MILLISECONDS = 3_000;
/** Interval at which an observer polls the report of a host. */
export const REPORT_INTERVAL_MILLISECONDS = 500;
/** Maximum age of a member's report while requests are dispatched to its group. */
export const CONFIRMATION_BOUND_MILLISECONDS = 2_000;
/** Maximum lease that a renewal may request; a longer lease would block takeovers. */
export const MAXIMUM_LEASE_MILLISECONDS = 60_000;
