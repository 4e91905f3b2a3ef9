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
	traceHead = "shallotpierTrace 1"
	fields    = 4
	maxTicks  = math.MaxInt64 / int64(time.Microsecond)
)

type (
	// Trace is a record of arrivals, in order of time.
	Trace struct {
		// Requests lists the arrivals.
		Requests []Request
	}

	// Request is one arrival.
	Request struct {
		// At is when it reaches its entry, since the start of the trace.
		At time.Duration
		// Entry is the entry's place in the deployment, counted from 0.
		Entry int
		// Class is the class's place in the service file, counted from 0.
		Class int
		// Work is how long a backend server runs it.
		Work time.Duration
	}

	// Load describes a made-up trace.
	Load struct {
		// Share is the work offered, as a share of the time of all slots.
		Share float64
		// Duration is the length of the trace.
		Duration time.Duration
		// Skew is by how much an entry's part of the arrivals swings around
		// the mean, 0 to 1.
		Skew float64
		// Swing is the time of one swing.
		Swing time.Duration
		// Classes lists how requests of the service's classes are made, in
		// the order of the service file.
		Classes []ClassLoad
	}

	// ClassLoad describes the requests of a class.
	ClassLoad struct {
		// Weight is the class's part of all requests.
		Weight float64
		// Median is the median of the work.
		Median time.Duration
		// Sigma is the spread of the logarithm of the work.
		Sigma float64
	}
)

// Parse reads a trace.
func Parse(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	if !lines.Scan() || lines.Text() != traceHead {
		return nil, eris.Errorf("line 1: want %q", traceHead)
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
			return nil, eris.Errorf("line %d: time goes back", n)
		}
		t.Requests = append(t.Requests, req)
	}
	return t, eris.Wrap(lines.Err(), "trace")
}

func parseRequest(line string) (Request, error) {
	parts := strings.Fields(line)
	if len(parts) != fields {
		return Request{}, eris.Errorf("%d fields, want %d", len(parts), fields)
	}
	var n [fields]int64
	for i, p := range parts {
		v, err := strconv.ParseInt(p, 10, 64)
		if err != nil || v < 0 || v > maxTicks {
			return Request{}, eris.Errorf("field %d: %q is not a count", i+1, p)
		}
		n[i] = v
	}
	if n[1] > math.MaxInt32 || n[2] > math.MaxInt32 {
		return Request{}, eris.New("entry or class out of range")
	}
	return Request{
		At: time.Duration(n[0]) * time.Microsecond, Entry: int(n[1]), Class: int(n[2]),
		Work: time.Duration(n[3]) * time.Microsecond,
	}, nil
}

// Write writes the trace in the form that Parse reads.
func (t *Trace) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, traceHead)
	for i := range t.Requests {
		r := &t.Requests[i]
		fmt.Fprintln(out, r.At.Microseconds(), r.Entry, r.Class, r.Work.Microseconds())
	}
	return eris.Wrap(out.Flush(), "trace")
}

// Make returns a trace with arrivals at random times at the world's entries.
func (l *Load) Make(w *World, seed uint64) *Trace {
	rng := rand.New(rand.NewPCG(seed, 0))
	weight, work := 0.0, 0.0
	for _, c := range l.Classes {
		weight += c.Weight
		work += c.Weight * c.Median.Seconds() * math.Exp(c.Sigma*c.Sigma/2)
	}
	rate := l.Share * float64(w.Service.Slots()) * weight / work
	t := new(Trace)
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when >= l.Duration {
			return t
		}
		class := l.class(rng.Float64() * weight)
		c := l.Classes[class]
		took := c.Median.Seconds() * math.Exp(c.Sigma*rng.NormFloat64())
		t.Requests = append(t.Requests, Request{
			At:    when.Truncate(time.Microsecond),
			Entry: l.entry(rng, when, len(w.Deployment.Entries)),
			Class: class,
			Work:  time.Duration(took * float64(time.Second)).Truncate(time.Microsecond),
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

// entry draws an entry; each one's part swings, one after the other.
func (l *Load) entry(rng *rand.Rand, at time.Duration, entries int) int {
	for {
		e := rng.IntN(entries)
		turn := float64(e) / float64(entries)
		if l.Swing > 0 {
			turn += at.Seconds() / l.Swing.Seconds()
		}
		if part := 1 + l.Skew*math.Sin(2*math.Pi*turn); rng.Float64()*(1+l.Skew) < part {
			return e
		}
	}
}
