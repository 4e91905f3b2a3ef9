package replay

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	traceHeader = "shallotpierTrace 1"
	numFields   = 4
	maxMicros   = math.MaxInt64 / int64(time.Microsecond)
)

type (
	// Trace is a sequence of requests in order of arrival.
	Trace struct {
		// Requests holds the requests in order of arrival.
		Requests []Request
	}

	// Request is one request of a trace.
	Request struct {
		// At is the time of arrival at the entry, since the start of the trace.
		At time.Duration
		// Entry is the index of the entry in the deployment, from 0.
		Entry int
		// Class is the index of the class in the service file, from 0.
		Class int
		// ServiceTime is the time that a backend server takes to process it.
		ServiceTime time.Duration
	}

	// Load holds the parameters of a synthetic trace.
	Load struct {
		// Utilisation is the offered load as a fraction of the capacity of all
		// slots.
		Utilisation float64
		// Duration is the length of the trace.
		Duration time.Duration
		// Skew is the amplitude, relative to the mean, of the sinusoidal
		// variation of an entry's arrival rate, 0 to 1.
		Skew float64
		// SwingPeriod is the period of the variation; 0 means that the rates
		// don't change over time.
		SwingPeriod time.Duration
		// Classes holds the load of each class, in the order of the service
		// file.
		Classes []ClassLoad
	}

	// ClassLoad holds the parameters of the requests of a class. Their service
	// times have a log-normal distribution.
	ClassLoad struct {
		// Weight is the relative frequency of the class.
		Weight float64
		// Median is the median service time.
		Median time.Duration
		// Sigma is the standard deviation of the logarithm of the service time.
		Sigma float64
	}
)

// Parse reads a trace. It returns an error with the line number if the trace is
// malformed or not in order of time.
func Parse(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	if !lines.Scan() || lines.Text() != traceHeader {
		return nil, eris.Errorf("line 1: want %q", traceHeader)
	}
	t := new(Trace)
	for n := 2; lines.Scan(); n++ {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		req, err := parseRequest(line)
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", n)
		}
		if len(t.Requests) > 0 && req.At < t.Requests[len(t.Requests)-1].At {
			return nil, eris.Errorf("line %d: arrival time is before that of the previous request", n)
		}
		t.Requests = append(t.Requests, req)
	}
	return t, eris.Wrap(lines.Err(), "trace")
}

func parseRequest(line string) (Request, error) {
	parts := strings.Fields(line)
	if len(parts) != numFields {
		return Request{}, eris.Errorf("%d fields, want %d", len(parts), numFields)
	}
	var n [numFields]int64
	for i, p := range parts {
		v, err := strconv.ParseInt(p, 10, 64)
		if err != nil || v < 0 || v > maxMicros {
			return Request{}, eris.Errorf("field %d: %q is not a non-negative integer in range", i+1, p)
		}
		n[i] = v
	}
	if n[1] > math.MaxInt32 || n[2] > math.MaxInt32 {
		return Request{}, eris.New("entry or class out of range")
	}
	return Request{
		At: time.Duration(n[0]) * time.Microsecond, Entry: int(n[1]), Class: int(n[2]),
		ServiceTime: time.Duration(n[3]) * time.Microsecond,
	}, nil
}

// Write writes the trace in the format that Parse reads.
func (t *Trace) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, traceHeader)
	for i := range t.Requests {
		r := &t.Requests[i]
		fmt.Fprintln(out, r.At.Microseconds(), r.Entry, r.Class, r.ServiceTime.Microseconds())
	}
	return eris.Wrap(out.Flush(), "trace")
}

// Generate returns a trace with Poisson arrivals at the entries of the
// environment.
func (l *Load) Generate(env *Environment, seed uint64) *Trace {
	rng := rand.New(rand.NewPCG(seed, 0))
	weight, serviceTime := 0.0, 0.0
	for _, c := range l.Classes {
		weight += c.Weight
		serviceTime += c.Weight * c.Median.Seconds() * math.Exp(c.Sigma*c.Sigma/2)
	}
	rate := l.Utilisation * float64(env.Service.Slots()) * weight / serviceTime
	t := new(Trace)
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= l.Duration {
			return t
		}
		class := l.class(rng.Float64() * weight)
		c := l.Classes[class]
		seconds := c.Median.Seconds() * math.Exp(c.Sigma*rng.NormFloat64())
		t.Requests = append(t.Requests, Request{
			At:          arrival.Truncate(time.Microsecond),
			Entry:       l.entry(rng, arrival, len(env.Deployment.Entries)),
			Class:       class,
			ServiceTime: time.Duration(seconds * float64(time.Second)).Truncate(time.Microsecond),
		})
	}
}

func (l *Load) class(draw float64) int {
	for i, c := range l.Classes {
		if draw -= c.Weight; draw < 0 {
			return i
		}
	}
	return len(l.Classes) - 1
}

// entry draws an entry by rejection sampling. The arrival rates of the entries
// vary sinusoidally, with evenly spaced phases.
func (l *Load) entry(rng *rand.Rand, at time.Duration, entries int) int {
	for {
		e := rng.IntN(entries)
		phase := float64(e) / float64(entries)
		if l.SwingPeriod > 0 {
			phase += at.Seconds() / l.SwingPeriod.Seconds()
		}
		if rate := 1 + l.Skew*math.Sin(2*math.Pi*phase); rng.Float64()*(1+l.Skew) < rate {
			return e
		}
	}
}
