// Package ledger makes sure that a request which must not be repeated, such as
// a booking or a ruling, runs at most once, whichever router receives it and
// whatever happens to the replies of the platform. It keeps one row for each
// request in a platform.Table and needs no other coordination.
//
// # Contract
//
// The owner of a request calls Claim before it sends anything. Only
// StateClaimed permits to send. After StateClaimed it calls exactly one of
// Finish, when bytes may have been sent, and Abandon, when certainly nothing
// was and nothing will be. A row goes through these states:
//
//	absent --Claim--> claimed --Finish--> ran | unknown
//	                  claimed --Finish, Abandon--> not_run --Claim--> claimed
//	                  claimed --TakeOver--> claimed by the other attempt
//
// A row that ran or is unknown does not change until the retention (7 days)
// has passed; later claims get the stored answer or StateUnknown. A claim with
// another digest fails with *KeyReusedError in every state. A claim that meets
// another attempt's claim gets StateInProgress with that attempt and its
// router; it asks that router and calls TakeOver only if the other attempt has
// not been sent and will not be. If the router is gone, the request counts as
// unknown. An attempt token belongs to one attempt: two callers that use the
// same token could both be told to run.
//
// # Failures
//
// Every write replaces a row of a known version, and versions do not recur. A
// reply that is lost is resolved by reading the row back: the attempt token
// shows whether the write took effect. A row that is still unchanged says
// nothing, since the write may be on its way, so the write is repeated; the
// one that comes second fails. When the claim stays unresolved, Claim returns
// *NotClaimedError and the ledger goes on in the background to replace the row
// by one that says not_run, after which a late write has no effect. When the
// platform is down, Claim fails at once. *NotClaimedError speaks of this attempt
// only: an earlier request with the same key may have run, so the key must be
// kept for the repetition. Finish tries until its context ends
// and then goes on in the background; a process that ends before leaves the row
// claimed, which later requests treat as unknown. A row that cannot be decoded
// counts as unknown.
//
// # Concurrency and cost
//
// All methods are safe for concurrent use; at most one lock (level 70) is held
// and none across I/O. Writes that come within 3 ms of each other share one
// commit of up to 128 rows; a row that conflicts costs the others one more
// commit. A request without conflicts takes two writes and no read, and waits
// 3 ms and one round trip for its claim. A repeated request takes one refused
// commit. An answer above 32 KB takes one object more; objects are not deleted,
// since the object store has no deletion. A sweep that is not due takes one
// read.
package ledger
