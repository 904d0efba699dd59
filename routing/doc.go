// Package routing chooses the worker of an upstream for each request of a
// router. It uses no network and no clock: callers report what they observe, with
// the time, and ask for choices.
//
// Load patterns that it handles:
//
//   - Recurring prompts. Requests with the same shared prompt parts go to the same
//     worker by rendezvous hashing, without messages between routers. Where the
//     preferred worker changes, the choice names a worker that probably has the
//     parts cached, since copying them costs a fraction of another prefill
//     (fetch.go).
//   - Hot prompts and many routers. A worker above a multiple of the mean load
//     gets no more prompts. Load reports arrive late and at few of the routers, so
//     the limit allows for what other routers send meanwhile, and for the requests
//     that end on workers that get no new ones (load.go).
//   - Requests without a prompt, and slow workers. Such requests go to the least
//     loaded worker; a slow one keeps its requests longer and gets fewer.
//   - Failing workers. Three consecutive failures eject a worker for some seconds,
//     at most a third of an upstream's workers; unreachable workers get nothing. If
//     no other worker is left, ejected ones are used.
//   - Retry storms. The retries of all routers together stay within a fraction of
//     the requests plus a slack, without messages between routers.
//   - Workers that never respond, among slow ones. The timeout follows the recent
//     times to first byte (delay.go).
//
// Contract: the choice depends only on what was reported. Every successful Choose
// is followed by exactly one RecordEnd.
//
// Failure behaviour: without load reports a router relies on its own requests;
// worker lists that are late or differ between routers move few prompts.
//
// Concurrency: a Fleet is safe for concurrent use.
//
// Cost: a choice takes time proportional to the number of workers of the upstream.
package routing
