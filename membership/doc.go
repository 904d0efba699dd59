// Package membership keeps one router's merged view of all routers. Its sources
// are the platform's VM list, direct contact, and the views of peers.
//
// Contract: each entry is owned by its router, and only that router increments
// its incarnation and heartbeat. Merging two entries of a router takes the newer
// parts, so it is commutative, associative and idempotent, and views converge in
// whatever order messages arrive. A byte budget per second limits what a router
// sends, so its traffic does not grow with the number of routers. The size of a
// message is the sum of the sizes that Config.Size returns for its entries.
//
// Failure behaviour: a router not heard from for Config.SuspectAfter is suspect
// and should get no new leases; after Config.GoneAfter it is gone. For routers of
// other failure domains these times grow with the number of failure domains,
// because entries arrive from one domain at a time. Routers that are gone are
// still contacted from time to time, so that the sides of a partition merge again
// without the platform.
//
// Concurrency: a View is not safe for concurrent use.
//
// Cost: a message takes time proportional to n log n for n known routers; an
// entry takes about 300 bytes plus its names.
package membership
