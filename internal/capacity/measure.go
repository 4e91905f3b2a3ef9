package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/internal/slope"
)

// Measure measures one quantity of one role at several sizes.
type Measure struct {
	// Role is the role of a node.
	Role string
	// Quantity is the name of the measured quantity, with its unit.
	Quantity string
	// Size is the name of what Sizes and Target count.
	Size string
	// Sizes holds the sizes in ascending order.
	Sizes []int
	// Target is the size in the target deployment.
	Target int
	// Run measures the quantity at one size.
	Run func(size int) (float64, error)
}

// Series runs the measure at each size and stops at the first error.
func (m Measure) Series() (slope.Series, error) {
	s := slope.Series{Role: m.Role, Quantity: m.Quantity, Size: m.Size}
	for _, size := range m.Sizes {
		y, err := m.Run(size)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, slope.Point{X: float64(size), Y: y})
	}
	return s, nil
}

// heapBytes returns how much the value that build returns adds to the live heap.
func heapBytes(build func() any) float64 {
	before := heapInUse()
	v := build()
	after := heapInUse()
	runtime.KeepAlive(v)
	return after - before
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorMicros calls f n times and returns the mean processor time of the
// process per call, in microseconds.
func processorMicros(n int, f func(i int)) (float64, error) {
	start, err := processorTime()
	if err != nil {
		return 0, err
	}
	for i := range n {
		f(i)
	}
	end, err := processorTime()
	if err != nil {
		return 0, err
	}
	return float64((end - start).Nanoseconds()) / 1e3 / float64(n), nil
}

func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
