// Package hostmemory finds the memory that a process may use, for processes whose settings
// do not state it.
package hostmemory

import (
	"github.com/KimMachineGun/automemlimit/memlimit"
	"golang.org/x/sys/unix"
)

// Limit is one limit of the memory of a process.
type Limit struct {
	Source string
	Bytes  int64
}

// Smallest returns the smallest limit that applies to this process: the memory of the
// machine, that of the control group, and the soft limits RLIMIT_AS and RLIMIT_DATA.
// Sources that cannot be read or state no limit are left out; without any, found is
// false.
func Smallest() (smallest Limit, found bool) {
	for _, l := range []Limit{
		{"machine", read(memlimit.FromSystem)},
		{"control group", read(memlimit.FromCgroup)},
		{"RLIMIT_AS", softLimit(unix.RLIMIT_AS)},
		{"RLIMIT_DATA", softLimit(unix.RLIMIT_DATA)},
	} {
		if l.Bytes > 0 && (!found || l.Bytes < smallest.Bytes) {
			smallest, found = l, true
		}
	}
	return smallest, found
}

func read(source func() (uint64, error)) int64 {
	n, err := source()
	if err != nil || int64(n) < 0 {
		return 0 // no limit
	}
	return int64(n)
}

func softLimit(resource int) int64 {
	var r unix.Rlimit
	if err := unix.Getrlimit(resource, &r); err != nil || int64(r.Cur) < 0 {
		return 0 // no limit
	}
	return int64(r.Cur)
}

// Parts of the smallest limit that a process uses by default.
const (
	// defaultDivisor leaves memory to the operating system and to other processes.
	defaultDivisor = 2
	maxDefaultMB   = 512
	// unknownMB is assumed if no limit is found. It is that of a small VM.
	unknownMB = 128
	minimumMB = 48
)

// DefaultMB returns the memory in MB of 2^20 bytes that a process uses if its settings
// state none: half of a limit, at least 48 and at most 512, or 128 if none was found.
func DefaultMB(l Limit, found bool) int {
	if !found {
		return unknownMB
	}
	return int(min(max(l.Bytes>>20/defaultDivisor, minimumMB), maxDefaultMB))
}
