/** Time limits of replica groups, in milliseconds. */

/** Lease of a holder on all groups that it holds. */
export const LEASE_MILLISECONDS = 10_000;
/** Time between two renewals of a lease. A third of the lease leaves room for two failed renewals. */
export const RENEWAL_INTERVAL_MILLISECONDS = LEASE_MILLISECONDS / 3;
/** An order that was not answered by then is abandoned, and its effect is read back. */
export const ORDER_DEADLINE_MILLISECONDS = 1_000;
/** Added by a successor to lease and order deadline; covers drift between monotonic clocks. */
export const LEASE_MARGIN_MILLISECONDS = 1_000;
/** How long a group may miss a member before it is dissolved. */
export const MEMBER_LOSS_GRACE_MILLISECONDS = 5_000;
/** How long daemons may send requests to a group after one of its members was listed as leaving. */
export const RETIREMENT_NOTICE_MILLISECONDS = 3_000;
/** Poll interval of an observer. */
export const REPORT_INTERVAL_MILLISECONDS = 500;
/** Maximum age of the confirmation of a member while requests are dispatched to its group. */
export const CONFIRMATION_BOUND_MILLISECONDS = 2_000;
/** Longest lease that a renewal may ask for; a longer one would block takeovers. */
export const MAXIMUM_LEASE_MILLISECONDS = 60_000;
