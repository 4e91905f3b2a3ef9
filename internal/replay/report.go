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

// checkEvery is how often it is looked whether lost slots are back.
const checkEvery = 100 * time.Millisecond

type (
	// Policy names a policy and makes one.
	Policy struct {
		// Name is the policy's name in reports.
		Name string
		make func() policy
	}

	// Options sets what a comparison plays besides the trace.
	Options struct {
		// Seed is for policies that choose at random.
		Seed uint64
		// Warmup is the first part of the trace that isn't counted.
		Warmup time.Duration
		// Lose is when an entry is lost; 0 means never.
		Lose time.Duration
		// Lost is its place in the deployment.
		Lost int
		// Demand is the reserve of the shares policy.
		Demand demand.Policy
	}

	// Report compares policies on one trace.
	Report struct {
		// Requests is the number of requests of the trace.
		Requests int `json:"requests"`
		// Results has one result for each policy.
		Results []Result `json:"results"`
	}

	// Result is what one policy did.
	Result struct {
		// Policy is its name.
		Policy string `json:"policy"`
		// Overloads counts arrivals at a server that held as many requests as
		// it has slots.
		Overloads int `json:"overloads"`
		// Refused counts requests that got no slot in time.
		Refused int `json:"refused"`
		// Late counts requests answered after their deadline.
		Late int `json:"late"`
		// Lost counts requests that ended with a lost entry.
		Lost int `json:"lost"`
		// Handed counts requests that another entry sent.
		Handed int `json:"handed"`
		// Messages counts messages between entries about slots.
		Messages int `json:"messages"`
		// InUse is the share of slot time that sent requests held, 0 to 1.
		InUse float64 `json:"inUse"`
		// Waiting is the time without a slot.
		Waiting Percentiles `json:"waiting"`
		// Whole is the time as a caller sees it.
		Whole Percentiles `json:"whole"`
		// Recovered is how long after the loss of an entry all slots could be
		// used again; 0 if they couldn't or that isn't known of the policy.
		Recovered unit.Duration `json:"recovered"`

		waits    []float64
		refusals []float64
		regions  []regionLoad
	}

	// regionLoad is the share of a region's slots in use by second.
	regionLoad struct {
		name id.Region
		load []float64
	}

	// Percentiles are of times.
	Percentiles struct {
		// P50 is the median.
		P50 unit.Duration `json:"p50"`
		// P99 is the 99th percentile.
		P99 unit.Duration `json:"p99"`
		// P999 is the 99.9th percentile.
		P999 unit.Duration `json:"p999"`
	}

	// recorder collects what happens.
	recorder struct {
		warmup   time.Duration
		waits    []time.Duration
		wholes   []time.Duration
		bySecond [][]time.Duration
		refusals []float64
		loads    map[id.Region][]float64
		held     time.Duration
		refused  int
		late     int
		lost     int
		handed   int
		overs    int
		messages int
		back     time.Duration
	}
)

// Policies returns all policies, the shares moved by demand last but one and
// the perfect queue last.
func Policies() []Policy {
	return []Policy{
		{"random", func() policy { return &naive{choose: chooseRandom} }},
		{"roundRobin", func() policy { return &naive{choose: chooseNext} }},
		{"twoChoices", func() policy { return &naive{choose: chooseOfTwo} }},
		{"leastInFlight", func() policy { return &naive{choose: chooseLeast} }},
		{"evenSplit", func() policy { return &evenSplit{} }},
		{"oneHome", func() policy { return &handOn{} }},
		Shares(),
		{"perfectQueue", func() policy { return &perfect{} }},
	}
}

// Shares returns the policy of the daemon, shares moved by demand.
func Shares() Policy { return Policy{"shares", func() policy { return &shares{} }} }

// Compare plays the trace under each policy.
func Compare(w *World, t *Trace, o Options, policies ...Policy) (*Report, error) {
	if err := w.Check(t); err != nil {
		return nil, err
	}
	if o.Lose > 0 && (o.Lost < 0 || o.Lost >= len(w.Deployment.Entries) || len(w.Deployment.Entries) < 2) {
		return nil, eris.Errorf("entry %d can't be lost", o.Lost)
	}
	if o.Demand == (demand.Policy{}) {
		o.Demand = demand.Default()
	}
	report := &Report{Requests: len(t.Requests)}
	for _, p := range policies {
		r := &run{
			world: w, options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), policy: p.make(),
			dead: make([]bool, len(w.Deployment.Entries)), give: meanWork(t, len(w.Service.Classes)),
		}
		r.result.warmup, r.result.loads = o.Warmup, map[id.Region][]float64{}
		slots := 0
		for i := range w.Service.Servers {
			r.servers = append(r.servers, &server{slots: w.Service.Servers[i].Slots})
			slots += w.Service.Servers[i].Slots
		}
		r.watch()
		r.play(t)
		result := r.result.result(p.Name, r.end-o.Warmup, slots)
		result.regions = r.loads()
		report.Results = append(report.Results, result)
	}
	return report, nil
}

// loads returns the load by region, in the order of the deployment.
func (r *run) loads() []regionLoad {
	slots := map[id.Region]int{}
	for _, s := range r.world.Service.Servers {
		region, _ := r.world.Deployment.Region(s.Zone)
		slots[region] += s.Slots
	}
	var out []regionLoad
	for _, region := range r.world.Deployment.Regions {
		series := r.result.loads[region.Name]
		for i := range series {
			series[i] /= float64(max(slots[region.Name], 1))
		}
		out = append(out, regionLoad{name: region.Name, load: series})
	}
	return out
}

// watch notes when the slots of a lost entry are back.
func (r *run) watch() {
	s, ok := r.policy.(interface{ recovered() bool })
	if !ok || r.options.Lose == 0 {
		return
	}
	var look func()
	look = func() {
		if s.recovered() {
			r.result.back = r.now - r.options.Lose
		} else if r.now < r.end {
			r.after(checkEvery, look)
		}
	}
	r.at(r.options.Lose+checkEvery, look)
}

func (c *recorder) served(j *job, now, whole time.Duration, handed bool) {
	if now < c.warmup {
		return
	}
	c.load(j, now)
	c.held += now - max(j.sent, c.warmup)
	if j.At < c.warmup {
		return
	}
	c.waits = append(c.waits, j.waited)
	c.wholes = append(c.wholes, whole)
	second := int(j.At / time.Second)
	for len(c.bySecond) <= second {
		c.bySecond = append(c.bySecond, nil)
	}
	c.bySecond[second] = append(c.bySecond[second], j.waited)
	if now > j.deadline {
		c.late++
	}
	if handed {
		c.handed++
	}
}

// load spreads the time that a request held its slot over the seconds.
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
		c.overs++
	}
}

func (c *recorder) result(name string, length time.Duration, slots int) Result {
	out := Result{
		Policy: name, Overloads: c.overs, Refused: c.refused, Late: c.late, Lost: c.lost,
		Handed: c.handed, Messages: c.messages, Waiting: percentiles(c.waits), Whole: percentiles(c.wholes),
		Recovered: unit.Duration(c.back),
	}
	if length > 0 && slots > 0 {
		out.InUse = c.held.Seconds() / (length.Seconds() * float64(slots))
	}
	for _, second := range c.bySecond {
		out.waits = append(out.waits, percentiles(second).P99.Std().Seconds()*1000)
	}
	out.refusals = c.refusals
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
	fmt.Fprintln(out, "policy\toverloads\trefused\tlate\tlost\thanded on\tmessages\tin use\twaiting p50\tp99\tp99.9\twhole p50\tp99\tp99.9\trecovered")
	for i := range r.Results {
		v := &r.Results[i]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			v.Policy, v.Overloads, v.Refused, v.Late, v.Lost, v.Handed, v.Messages, v.InUse*100,
			v.Waiting.P50, v.Waiting.P99, v.Waiting.P999, v.Whole.P50, v.Whole.P99, v.Whole.P999, v.Recovered)
	}
	return eris.Wrap(out.Flush(), "report")
}

// WriteJSON writes the comparison as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(r), "report")
}
