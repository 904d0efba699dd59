// Package ledger ensures that an at-most-once request, such as a booking or a
// ruling, does not run twice, whichever router receives it and even if replies to
// writes are lost. It keeps one row per request in a store.Table of the platform
// and needs no other coordination.
//
// # Contract
//
// A router calls Claim before it sends the request to a worker. Only
// StateClaimed permits sending. After StateClaimed it calls exactly one of
// Finish, if bytes may have been sent, and Abandon, if it is certain that
// nothing was or will be sent. The states of a row are:
//
//	absent --Claim--> claimed --Finish--> ran | unknown
//	                  claimed --Finish, Abandon--> not_run --Claim--> claimed
//	                  claimed --TakeOver--> claimed by the new attempt
//
// A row in state ran or unknown does not change until its retention (7 days)
// has passed; later claims get the stored answer or StateUnknown. A claim with
// a different digest fails with *KeyReusedError in every state. If another
// attempt holds the claim, Claim returns StateInProgress with that attempt and
// its router. The new attempt asks that router and calls TakeOver only if the
// other attempt has not been sent and will not be. If that router is
// unreachable, the request counts as unknown. An attempt token belongs to one
// attempt: two routers that use the same token could both be told to run the
// request.
//
// # Failures
//
// Every write is a compare-and-set on the row's version, and versions are never
// reused. If the reply to a write is lost, the row is read back: the attempt
// token shows whether the write took effect. An unchanged row proves nothing,
// since the write may still arrive, so the write is sent again; whichever of the
// two arrives second fails. If the claim cannot be resolved, Claim returns
// *NotClaimedError and a background job replaces the row with one in state
// not_run, after which a delayed write has no effect. If the platform is down,
// Claim fails at once. *NotClaimedError is about this attempt only: an earlier
// request with the same key may have run, so the client must reuse the key when
// it retries the request. Finish retries until its context ends and then
// continues in the background; a process that ends before that leaves the row
// claimed, which later requests treat as unknown. A row that cannot be decoded
// counts as unknown.
//
// # Concurrency and cost
//
// All methods are safe for concurrent use; at most one lock (level 70, see
// internal/core/lockorder.go) is held, and none across I/O. Writes within 3 ms of
// each other share one commit of up to 128 rows; if a row conflicts, the other
// rows need one more commit. A request without conflicts takes two writes and no
// read, and its claim takes 3 ms and one round trip. The retry of a request that
// has run takes one rejected commit. An answer above 32 KB is stored as an
// additional object; objects are not deleted, since the object store has no
// delete operation. A sweep that is not due takes one read.
package ledger
