package capacity

// The target size, from section 1 of docs/design.md.
const (
	targetRouters           = 400
	targetDomains           = 18
	targetWorkers           = 1100
	targetRequestsPerSecond = 950.0
	targetTokensPerSecond   = 420_000.0
	targetChangesPerDay     = 1900.0
	targetInFlight          = 11_400.0
	targetDomainRouters     = 22
	targetDomainWorkers     = 61
	targetWorkspaces        = 42_000
	targetCallers           = 1000 // number of callers in the set; assumed, since docs/design.md states none
)

// Limits of the control work of one router, which is all its work except
// forwarding requests and responses, and of the load on the platform.
const (
	maxTrafficPerSecond = 4096.0 // bytes in each direction
	maxCPUShare         = 0.038  // share of a core
	maxMemoryBytes      = 128 << 20
	maxSecondsToApply   = 11.0   // until a change is active on every router
	maxReadsPerSecond   = 2000.0 // platform reads of all routers
	maxWritesPerSecond  = 300.0  // platform writes of all routers; the target is "several hundred"
)
