package connlimit

import "golang.org/x/sys/unix"

// Inverse parts of a process's descriptors. What is left is for files, the store and
// connections to peers.
const (
	callerDivisor  = 2  // connections of callers
	requestDivisor = 4  // admitted requests, which take a connection to a worker each
	peerDivisor    = 8  // the listener for peers
	auxDivisor     = 16 // each other listener
)

// callerShare is the part of the admitted requests that one caller may have.
const callerShare = 0.75

// ForProcess returns the number of callers' connections that leaves descriptors for
// everything else: half of the soft limit of the process.
func ForProcess() int { return softLimit() / callerDivisor }

// maxRequests returns the number of admitted requests.
func maxRequests() int { return max(softLimit()/requestDivisor, 1) }

// ForPeers returns the number of connections for the listener for peers: an eighth of the
// soft limit of the process.
func ForPeers() int { return max(softLimit()/peerDivisor, 4) }

// ForAux returns the number of connections for each other listener: a sixteenth of the
// soft limit of the process.
func ForAux() int { return max(softLimit()/auxDivisor, 4) }

func softLimit() int {
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil {
		return 1024 // the usual soft limit; the call does not fail for a known resource
	}
	return int(max(min(r.Cur, 1<<30), 2))
}
