package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the CPU time that this process has used, 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuMicrosPerCall calls fn n times and returns the mean CPU time of a call in
// microseconds.
func cpuMicrosPerCall(n int, fn func(i int)) float64 {
	runtime.GC()
	start := cpuTime()
	for i := range n {
		fn(i)
	}
	return float64((cpuTime() - start).Nanoseconds()) / 1000 / float64(n)
}

// retainedBytes returns by how many bytes the heap and stacks in use grow through
// a call of fn.
func retainedBytes(fn func()) float64 {
	before := bytesInUse()
	fn()
	return bytesInUse() - before
}

func bytesInUse() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what finalizers and pools still referenced
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
