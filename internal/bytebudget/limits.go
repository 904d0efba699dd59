package bytebudget

// Parts of the memory of a machine.
const (
	// ownBytes is what a router needs for itself: its code, the state of a large fleet
	// and the connections of its workers.
	ownBytes = 38 << 20
	// heldShare leaves the rest to the garbage collector: freed memory that is not yet
	// reused, and gaps between blocks in use.
	heldShare = 0.6
	// runtimeShare, less programBytes, is the soft limit of the runtime, above which it
	// collects garbage more often. The rest is for memory that the runtime does not count,
	// the pages of the program and of threads, and for a collector that is behind.
	runtimeShare = 0.9
	programBytes = 24 << 20
	// minimumBytes lets one caller hold two copies of a body of 4 MiB in any memory.
	minimumBytes = 12 << 20
)

// Limit returns the bytes that a router may hold for others in a memory in MB of 2^20
// bytes.
func Limit(memoryMB int) int64 {
	return max(int64(float64(memoryMB<<20)*heldShare)-ownBytes, minimumBytes)
}

// RuntimeLimit returns the memory limit of the Go runtime for a memory in MB of 2^20 bytes.
func RuntimeLimit(memoryMB int) int64 {
	return max(int64(float64(memoryMB<<20)*runtimeShare)-programBytes, minimumBytes)
}
