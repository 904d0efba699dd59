// Package membership keeps one router's merged view of all routers. Sources
// are the platform's VM list, direct contact, and the views of peers.
//
// Contract: each entry is owned by its router, which alone raises its
// incarnation and heartbeat. Merging two entries of a router takes the newer
// parts, so it is commutative, associative and idempotent, and views converge
// in whatever order messages arrive. What a router sends is bounded by a byte
// budget a second; the size of a message is what the passed-in Size says of
// its entries, so the cost of a node does not grow with the number of routers.
//
// Failure behaviour: a router not heard from for Config.Suspect is suspect and
// gets no new role, for Config.Gone it is gone. Entries of other failure
// domains arrive in turn and have times that grow with the number of domains. Routers that are gone are still
// contacted now and then, so that two parts that were cut off from each other
// merge again without the platform.
//
// Concurrency: a View is not safe for concurrent use.
//
// Cost: a message takes time proportional to n log n for n known routers; an
// entry takes about 300 bytes plus its names.
package membership
