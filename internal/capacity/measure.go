package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/internal/slope"
)

// Measure is one quantity of one role, taken at several sizes.
type Measure struct {
	// Role names the role of a node.
	Role string
	// Quantity names what is measured, with its unit.
	Quantity string
	// Size names what the sizes count.
	Size string
	// Sizes lists the sizes, smallest first.
	Sizes []int
	// Target is the size at the target.
	Target int
	// Run measures the quantity at one size.
	Run func(size int) (float64, error)
}

// Series runs the measure at each size.
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

// heapBytes returns the heap that the value built by build keeps in use.
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

// processorMicros returns the processor time that the process spends in each
// of n calls of f, in microseconds.
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
