// Package routing chooses the worker of an upstream for each request of a
// router. It uses no network and no clock: the router passes in its observations
// and the current time.
//
// Load patterns that it handles:
//
//   - Recurring prompts. Requests with the same shared prompt parts go to the same
//     worker by rendezvous hashing, without messages between routers. When the
//     preferred worker changes, the choice names a worker that probably has the
//     parts cached, since copying them costs a fraction of another prefill
//     (fetch.go).
//   - Releases. Workers join and leave in quick succession, so a preferred worker
//     and those ranked next to it may all be new. The parts are fetched from the
//     first preference among the workers that have been there for some seconds
//     (fetch.go).
//   - Hot prompts and many routers. A worker above a multiple of the mean load
//     gets no more prompts. Load reports arrive late and at few of the routers, so
//     requests that a worker leaves unanswered are taken to be as many at every
//     other router. The mean leaves out requests that have
//     probably ended since the last reports of workers above the limit, which get
//     no new ones (load.go).
//   - Requests without a prompt, and slow workers. Requests without a prompt go to
//     the least loaded worker. A slow worker gets fewer of them, since it keeps each
//     request longer.
//   - Failing workers. Three consecutive failures eject a worker for some seconds,
//     at most a third of an upstream's workers; unreachable workers get nothing. If
//     no other worker is left, ejected ones are used.
//   - Workers that name a limit. Each router uses its part of the limit, spread over
//     time; other requests go to the next preference, up to its slots (ratelimit.go).
//   - Workers that start during traffic. A cold worker takes few requests from all
//     routers together, and looks like the least loaded one to each of them. It gets
//     requests with permits that are divided among all routers (coldstart.go,
//     fleetsize.go).
//   - Workers that say in their responses that they leave or want no requests for a
//     while. The router that was told passes them over, until the process ends or the
//     pause does (statements.go).
//   - Evacuations. The workers of an evacuated failure domain get nothing from one moment
//     to the next, and are idle when they are taken back: for some seconds they get at
//     most the mean share of the requests without a prompt (evacuation.go).
//   - Retry storms. The retries of all routers together stay within a fraction of
//     the requests plus a slack, without messages between routers.
//   - Workers that never respond, as opposed to slow ones. The first-byte timeout
//     follows the recent times to first byte (firstbyte.go).
//
// Contract: the choice depends only on the arguments of the calls so far and on
// Config.Random. Every successful Choose must be followed by exactly one
// RecordEnd.
//
// Failure behaviour: without load reports a router relies on its own requests. If
// worker lists are late or differ between routers, only a few prompts go to
// another worker.
//
// Concurrency: a Fleet is safe for concurrent use.
//
// Cost: a choice takes time proportional to the number of workers of the upstream.
package routing
