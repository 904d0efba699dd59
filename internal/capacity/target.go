package capacity

// The target size of the design page, section 1.
const (
	targetRouters       = 400
	targetDomains       = 18
	targetWorkers       = 1100
	targetRequests      = 950.0
	targetTokens        = 420_000.0
	targetChangesDay    = 1900.0
	targetInFlight      = 11_400.0
	targetDomainRouters = 22
	targetDomainWorkers = 61
	targetWorkspaces    = 42_000
	targetCallers       = 1000 // callers in the set; the design page states no number
)

// The limits of one router's control work and of the platform.
const (
	limitBytes  = 4096.0 // a second
	limitCore   = 0.038  // share of a core
	limitMemory = 128 << 20
	limitForce  = 11.0   // seconds until a change is in force
	limitReads  = 2000.0 // platform reads a second, of all routers
	limitWrites = 300.0  // platform writes a second; "several hundred"
)
