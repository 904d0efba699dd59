// Package routing chooses the worker of an upstream for each request of a
// router. It needs no network and no clock: callers report what they see, with
// the time, and ask.
//
// Load patterns:
//
//   - Returning prompts. Requests with the same shared parts go to the same
//     worker by rendezvous hashing, on routers that exchange no messages. Where
//     the choice changes, the request names a worker that probably has the parts,
//     since copying them costs a fraction of reading them again (fetch.go).
//   - Hot prompts and many routers. A worker above a multiple of the mean load
//     gets no more prompts. Loads are reported late, by few of the routers, so the
//     limit allows for what others send meanwhile, and for what ends on workers
//     that nobody sends to (load.go).
//   - Requests without a prompt, and slow workers. They go to the least busy
//     worker; a slow one keeps its requests longer and gets fewer.
//   - Failing workers. Three failures in a row leave a worker out for seconds, at
//     most a third of an upstream; lost workers get nothing. If no worker is left,
//     ejected ones are used.
//   - Retry storms. Repeats of all routers together stay within a share of the
//     requests and a slack, without messages.
//   - Mute workers among slow ones. Patience follows the times to the first byte
//     (delay.go).
//
// Contract: the choice depends on what was reported only. Every choice is
// followed by one call of Ended.
//
// Failure behaviour: without reports of load a router goes by its own requests;
// lists that are late or differ between routers move few prompts.
//
// Concurrency: a Fleet is safe for concurrent use.
//
// Cost: a choice takes time proportional to the workers of the upstream.
package routing
