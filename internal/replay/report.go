package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/slots/demand"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// recoveryCheckInterval is the interval of checks whether the slots of a failed
// entry have been recovered.
const recoveryCheckInterval = 100 * time.Millisecond

type (
	// Policy is a named policy for dividing slots among entries.
	Policy struct {
		// Name is the policy's name in reports.
		Name   string
		create func() policy
	}

	// Options holds the parameters of a comparison.
	Options struct {
		// Seed is the seed of policies with random decisions.
		Seed uint64
		// Warmup is the initial part of the trace that is not measured.
		Warmup time.Duration
		// FailAt is the time at which an entry fails; 0 means never.
		FailAt time.Duration
		// FailedEntry is the index of that entry in the deployment.
		FailedEntry int
		// Demand is the demand policy of shares; the zero value means
		// demand.Default.
		Demand demand.Policy
	}

	// Report holds the results of several policies on one trace.
	Report struct {
		// Requests is the number of requests in the trace.
		Requests int `json:"requests"`
		// Results holds the result of each policy.
		Results []Result `json:"results"`
	}

	// Result holds the measurements of one policy.
	Result struct {
		// Policy is the policy's name.
		Policy string `json:"policy"`
		// Overloads is the number of arrivals at servers whose slots were all
		// in use.
		Overloads int `json:"overloads"`
		// Refused is the number of requests that got no slot in time.
		Refused int `json:"refused"`
		// Late is the number of requests whose response came after their
		// deadline.
		Late int `json:"late"`
		// Lost is the number of requests lost with a failed entry.
		Lost int `json:"lost"`
		// Forwarded is the number of requests sent to a server by another entry
		// than the one at which they arrived.
		Forwarded int `json:"handed"`
		// Messages is the number of messages about slots between entries.
		Messages int `json:"messages"`
		// InUse is the mean fraction of slots held by requests that were sent
		// and not yet answered, 0 to 1.
		InUse float64 `json:"inUse"`
		// QueueTime is the time that requests waited for a slot, at entries and
		// servers.
		QueueTime Percentiles `json:"waiting"`
		// Latency is the latency as measured by the callers.
		Latency Percentiles `json:"whole"`
		// RecoveryTime is the time from the failure of an entry until all slots
		// were usable again; 0 if they never were or the policy does not report
		// recovery.
		RecoveryTime unit.Duration `json:"recovered"`

		p99BySecond     []float64
		refusedBySecond []float64
		regions         []regionLoad
	}

	// regionLoad holds the fraction of a region's slots in use in each second.
	regionLoad struct {
		name id.Region
		load []float64
	}

	// Percentiles holds percentiles of durations.
	Percentiles struct {
		// P50 is the median.
		P50 unit.Duration `json:"p50"`
		// P99 is the 99th percentile.
		P99 unit.Duration `json:"p99"`
		// P999 is the 99.9th percentile.
		P999 unit.Duration `json:"p999"`
	}

	// recorder collects the measurements of a run.
	recorder struct {
		warmup        time.Duration
		waits         []time.Duration
		latencies     []time.Duration
		waitsBySecond [][]time.Duration
		refusals      []float64
		loads         map[id.Region][]float64
		slotTime      time.Duration
		refused       int
		late          int
		lost          int
		forwarded     int
		overloads     int
		messages      int
		recoveryTime  time.Duration
	}
)

// Policies returns all policies. Shares is the last but one, the perfect queue the
// last.
func Policies() []Policy {
	return []Policy{
		{"random", func() policy { return &naive{choose: chooseRandom} }},
		{"roundRobin", func() policy { return &naive{choose: chooseNext} }},
		{"twoChoices", func() policy { return &naive{choose: chooseOfTwo} }},
		{"leastInFlight", func() policy { return &naive{choose: chooseLeast} }},
		{"evenSplit", func() policy { return &evenSplit{} }},
		{"oneHome", func() policy { return &oneHome{} }},
		Shares(),
		{"perfectQueue", func() policy { return &perfect{} }},
	}
}

// Shares returns the policy of the daemon, which divides the slots by demand.
func Shares() Policy { return Policy{"shares", func() policy { return &shares{} }} }

// Compare replays the trace with each policy. It returns an error if the trace does
// not fit the environment or the entry that is to fail does not exist or is the
// only one.
func Compare(env *Environment, t *Trace, o Options, policies ...Policy) (*Report, error) {
	if err := env.Check(t); err != nil {
		return nil, err
	}
	if o.FailAt > 0 && (o.FailedEntry < 0 || o.FailedEntry >= len(env.Deployment.Entries) || len(env.Deployment.Entries) < 2) {
		return nil, eris.Errorf("entry %d can't fail: not in the deployment, or its only entry", o.FailedEntry)
	}
	if o.Demand == (demand.Policy{}) {
		o.Demand = demand.Default()
	}
	report := &Report{Requests: len(t.Requests)}
	for _, p := range policies {
		r := &run{
			env: env, options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), policy: p.create(),
			failed: make([]bool, len(env.Deployment.Entries)), meanServiceTime: meanServiceTimes(t, len(env.Service.Classes)),
		}
		r.result.warmup, r.result.loads = o.Warmup, map[id.Region][]float64{}
		slots := 0
		for i := range env.Service.Servers {
			r.servers = append(r.servers, &server{slots: env.Service.Servers[i].Slots})
			slots += env.Service.Servers[i].Slots
		}
		r.watchRecovery()
		r.replay(t)
		result := r.result.result(p.Name, r.end-o.Warmup, slots)
		result.regions = r.regionLoads()
		report.Results = append(report.Results, result)
	}
	return report, nil
}

// regionLoads returns the load of each region, in the order of the deployment.
func (r *run) regionLoads() []regionLoad {
	slots := map[id.Region]int{}
	for _, s := range r.env.Service.Servers {
		region, _ := r.env.Deployment.Region(s.Zone)
		slots[region] += s.Slots
	}
	var out []regionLoad
	for _, region := range r.env.Deployment.Regions {
		series := r.result.loads[region.Name]
		for i := range series {
			series[i] /= float64(max(slots[region.Name], 1))
		}
		out = append(out, regionLoad{name: region.Name, load: series})
	}
	return out
}

// watchRecovery records the time at which the slots of a failed entry have been
// recovered.
func (r *run) watchRecovery() {
	s, ok := r.policy.(interface{ recovered() bool })
	if !ok || r.options.FailAt == 0 {
		return
	}
	var check func()
	check = func() {
		if s.recovered() {
			r.result.recoveryTime = r.now - r.options.FailAt
		} else if r.now < r.end {
			r.after(recoveryCheckInterval, check)
		}
	}
	r.at(r.options.FailAt+recoveryCheckInterval, check)
}

func (c *recorder) served(j *job, now, latency time.Duration, forwarded bool) {
	if now < c.warmup {
		return
	}
	c.load(j, now)
	c.slotTime += now - max(j.sent, c.warmup)
	if j.At < c.warmup {
		return
	}
	c.waits = append(c.waits, j.waited)
	c.latencies = append(c.latencies, latency)
	second := int(j.At / time.Second)
	for len(c.waitsBySecond) <= second {
		c.waitsBySecond = append(c.waitsBySecond, nil)
	}
	c.waitsBySecond[second] = append(c.waitsBySecond[second], j.waited)
	if now > j.deadline {
		c.late++
	}
	if forwarded {
		c.forwarded++
	}
}

// load adds the time that a request held its slot to the seconds it falls into.
func (c *recorder) load(j *job, now time.Duration) {
	series := c.loads[j.region]
	for from := j.sent; from < now; {
		second := int(from / time.Second)
		to := min(now, time.Duration(second+1)*time.Second)
		series = grow(series, second)
		series[second] += (to - from).Seconds()
		from = to
	}
	c.loads[j.region] = series
}

func grow(series []float64, last int) []float64 {
	for len(series) <= last {
		series = append(series, 0)
	}
	return series
}

func (c *recorder) refuse(j *job, now time.Duration) {
	second := int(now / time.Second)
	c.refusals = grow(c.refusals, second)
	c.refusals[second]++
	if j.At >= c.warmup {
		c.refused++
	}
}

func (c *recorder) overload(now time.Duration) {
	if now >= c.warmup {
		c.overloads++
	}
}

func (c *recorder) result(name string, length time.Duration, slots int) Result {
	out := Result{
		Policy: name, Overloads: c.overloads, Refused: c.refused, Late: c.late, Lost: c.lost,
		Forwarded: c.forwarded, Messages: c.messages, QueueTime: percentiles(c.waits), Latency: percentiles(c.latencies),
		RecoveryTime: unit.Duration(c.recoveryTime),
	}
	if length > 0 && slots > 0 {
		out.InUse = c.slotTime.Seconds() / (length.Seconds() * float64(slots))
	}
	for _, second := range c.waitsBySecond {
		out.p99BySecond = append(out.p99BySecond, percentiles(second).P99.Std().Seconds()*1000)
	}
	out.refusedBySecond = c.refusals
	return out
}

func percentiles(times []time.Duration) Percentiles {
	if len(times) == 0 {
		return Percentiles{}
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(p float64) unit.Duration {
		i := int(p * float64(len(sorted)))
		return unit.Duration(sorted[min(i, len(sorted)-1)].Round(10 * time.Microsecond))
	}
	return Percentiles{P50: at(0.5), P99: at(0.99), P999: at(0.999)}
}

// WriteText writes the comparison as a table.
func (r *Report) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%d requests\n", r.Requests)
	fmt.Fprintln(out, "policy\toverloads\trefused\tlate\tlost\tforwarded\tmessages\tin use\tqueue time p50\tp99\tp99.9\tlatency p50\tp99\tp99.9\trecovered")
	for i := range r.Results {
		v := &r.Results[i]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			v.Policy, v.Overloads, v.Refused, v.Late, v.Lost, v.Forwarded, v.Messages, v.InUse*100,
			v.QueueTime.P50, v.QueueTime.P99, v.QueueTime.P999, v.Latency.P50, v.Latency.P99, v.Latency.P999, v.RecoveryTime)
	}
	return eris.Wrap(out.Flush(), "report")
}

// WriteJSON writes the comparison as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(r), "report")
}
