package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime is the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// microsEach is the processor time of one call of fn in microseconds.
func microsEach(n int, fn func(i int)) float64 {
	runtime.GC()
	start := processorTime()
	for i := range n {
		fn(i)
	}
	return float64((processorTime() - start).Nanoseconds()) / 1000 / float64(n)
}

// bytesKept is the memory in heap and stacks that stays in use after fn.
func bytesKept(fn func()) float64 {
	before := inUse()
	fn()
	return inUse() - before
}

func inUse() float64 {
	runtime.GC()
	runtime.GC() // the second one frees what finalizers and pools held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
