package daemon

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/link"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/shutdown"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// source provides the data and commands of the operators' listener.
type source struct{ *Daemon }

var _ operator.Source = (*source)(nil)

// Ready implements operator.Source.
func (s *source) Ready() error {
	switch {
	case s.table() == nil:
		return eris.New("no configuration yet")
	case s.phase(1) != shutdown.Serving:
		return eris.New("leaving")
	case s.starting():
		return eris.New("starting: waits for the homes of backend servers, and until what an earlier process sent can't count against a cap")
	}
	return nil
}

// WriteMetrics implements operator.Source.
func (s *source) WriteMetrics(w io.Writer) { s.metrics.WritePrometheus(w) }

// Status implements operator.Source.
func (s *source) Status(context.Context) (operator.Status, error) {
	out := operator.Status{
		Instance: s.Settings.Instance, Zone: s.Settings.Zone, Region: s.Settings.Region,
		Incarnation: s.incarnation, Ready: true, Leaving: s.phase(1) != shutdown.Serving, Store: s.storeStatus(),
	}
	if err := s.Ready(); err != nil {
		out.Ready, out.NotReady = false, err.Error()
	}
	out.Instances, out.Links = s.instanceStatus(), s.linkStatus()
	if t := s.table(); t != nil {
		out.Version = t.Version
		for _, name := range serviceNames(t.Services) {
			out.Services = append(out.Services, s.serviceStatus(t.Services[name]))
		}
	}
	return out, nil
}

func (s *source) storeStatus() operator.Freshness {
	r := s.store.Report()
	switch {
	case r.LastAnswer.IsZero():
		return operator.Freshness{State: "missing"}
	case !r.FailingSince.IsZero():
		return operator.Freshness{State: "stale", Age: unit.Duration(time.Since(r.LastAnswer))}
	default:
		return operator.Freshness{State: "fresh", Age: unit.Duration(time.Since(r.LastAnswer))}
	}
}

// linkStatus returns the bandwidth budget of this entry on each link of its
// region. The bandwidth in use is not measured.
func (s *source) linkStatus() []operator.LinkStatus {
	var out []operator.LinkStatus
	for _, r := range s.Settings.Deployment.Regions {
		l := s.Settings.Deployment.Link(s.Settings.Region, r.Name)
		if l == nil {
			continue
		}
		all := link.Limit(l, measured.Value[unit.BitRate]{}, time.Now())
		out = append(out, operator.LinkStatus{
			From: s.Settings.Region, To: r.Name, Budget: unit.BitRate(float64(all) * float64(s.limits.share())),
			Seen: operator.Freshness{State: measured.Missing.String()},
		})
	}
	return out
}

func (s *source) instanceStatus() []operator.InstanceStatus {
	var (
		out     []operator.InstanceStatus
		version id.Version
		now     = time.Now()
	)
	if t := s.table(); t != nil {
		version = t.Version
	}
	for _, e := range s.Settings.Deployment.Entries {
		region, _ := s.Settings.Deployment.Region(e.Zone)
		if e.Name == s.Settings.Instance {
			out = append(out, operator.InstanceStatus{Name: e.Name, Zone: e.Zone, Region: region, State: s.ownState().String(), Version: version, Seen: operator.Freshness{State: "fresh"}})
			continue
		}
		m := s.members.Member(e.Name, now)
		seen := operator.Freshness{State: "fresh", Age: unit.Duration(m.Silence)}
		if !m.Alive {
			seen.State = "stale"
		}
		out = append(out, operator.InstanceStatus{Name: e.Name, Zone: e.Zone, Region: region, State: m.Lookup().String(), Version: m.Own.Config.Version, Seen: seen})
	}
	return out
}

func (s *source) serviceStatus(f *service.File) operator.ServiceStatus {
	out := operator.ServiceStatus{Name: f.Service}
	regions := map[id.Region]*operator.Headroom{}
	for _, r := range f.Regions {
		out.Regions = append(out.Regions, operator.Headroom{Region: r.Name})
	}
	for i := range out.Regions {
		regions[out.Regions[i].Region] = &out.Regions[i]
	}
	for i := range f.Servers {
		b := &f.Servers[i]
		used := s.used(f.Service, b.Name)
		state := s.serverState(f, b)
		out.Servers = append(out.Servers, operator.ServerStatus{Name: b.Name, Zone: b.Zone, State: state, Slots: b.Slots, Used: used, Home: s.home(f.Service, b.Zone), Seen: s.reportAge(f.Service, b.Name)})
		region, _ := s.Settings.Deployment.Region(b.Zone)
		if h := regions[region]; h != nil {
			h.Used += used
			if !b.Leaving {
				h.Slots += b.Slots
			}
		}
	}
	return out
}

// reportAge returns the state and age of a server's last load report.
func (s *source) reportAge(of id.Service, server id.Server) operator.Freshness {
	v, now := s.router.Report(of, server), time.Now()
	_, state := v.Read(now, health.MaxAge)
	age, _ := v.Age(now)
	return operator.Freshness{State: state.String(), Age: unit.Duration(max(age, 0))}
}

// home returns the entry that grants the slots of a service's servers in a
// zone, or the empty name if it is unknown.
func (s *source) home(of id.Service, zone id.Zone) id.Instance {
	r, _, ok := s.leases.Record(bucketName(wire.Bucket{Service: of, Zone: zone}))
	if !ok || r.Released {
		return ""
	}
	return r.Holder.Instance
}

// serverState returns a server's state for the status: whether it takes new
// requests, or why not.
func (s *source) serverState(f *service.File, b *service.Server) string {
	if b.Leaving {
		return "leaving"
	}
	verdict, level := s.router.Verdict(f.Service, b.Name, time.Now())
	switch {
	case verdict == health.No:
		return "out"
	case verdict == health.Trial:
		return "onTrial"
	case level < 1:
		return "startingSlowly"
	default:
		return "taking"
	}
}

// Explain implements operator.Source.
func (s *source) Explain(_ context.Context, q operator.Query) (operator.Explanation, error) {
	t := s.table()
	if t == nil {
		return operator.Explanation{}, operator.Errorf(result.NotReady, "no configuration yet")
	}
	f := t.Services[q.Service]
	if f == nil {
		return operator.Explanation{}, operator.Errorf(result.NoService, "no service %q", q.Service)
	}
	out := operator.Explanation{Service: q.Service, Version: t.Version}
	class := f.Match(q.Method, q.Path)
	if class == nil {
		out.Code = result.NoClass
		return out, nil
	}
	out.Class = class.Name
	entries, _ := s.lookups.Entries(q.Service, q.Caller)
	for _, e := range entries {
		out.Entries = append(out.Entries, operator.Choice{Name: string(e.Instance), Weight: float64(e.Weight), Why: "look-up table"})
	}
	for _, b := range s.router.Order(&admission.Request{Service: f, Class: class, Caller: q.Caller}) {
		why := "one-way delay " + s.Settings.Deployment.Delay(s.Settings.Zone, b.Zone).String()
		out.Servers = append(out.Servers, operator.Choice{Name: string(b.Name), Zone: b.Zone, Why: why})
	}
	return out, nil
}

// Drain implements operator.Source.
func (s *source) Drain(ctx context.Context, t operator.Target) (operator.Progress, error) {
	return s.setLeaving(ctx, t, true)
}

// Undrain implements operator.Source.
func (s *source) Undrain(ctx context.Context, t operator.Target) (operator.Progress, error) {
	return s.setLeaving(ctx, t, false)
}

func (s *source) setLeaving(ctx context.Context, t operator.Target, leave bool) (operator.Progress, error) {
	if t.Instance != "" {
		return s.drainInstance(t, leave)
	}
	if err := s.checkTarget(t); err != nil {
		return operator.Progress{}, err
	}
	if s.notices.Leaving(t.Service, t.Server) != leave {
		s.exchange.Post(ctx, noticeKey(t.Service, t.Server), leave)
	}
	return s.Progress(ctx, t)
}

func (s *source) drainInstance(t operator.Target, leave bool) (operator.Progress, error) {
	switch {
	case t.Instance != s.Settings.Instance:
		return operator.Progress{}, operator.Errorf(result.BadCommand, "this is %s; ask %s itself", s.Settings.Instance, t.Instance)
	case !leave:
		return operator.Progress{}, operator.Errorf(result.BadCommand, "an entry that is leaving can't be kept; start it again")
	}
	s.BeginShutdown()
	return operator.Progress{Target: t, Draining: true, Text: "waits for look-up answers to run out"}, nil
}

func (s *source) checkTarget(t operator.Target) error {
	tab := s.table()
	if tab == nil {
		return operator.Errorf(result.NotReady, "no configuration yet")
	}
	f := tab.Services[t.Service]
	if f == nil || f.Server(t.Server) == nil {
		return operator.Errorf(result.BadCommand, "no backend server %q of service %q", t.Server, t.Service)
	}
	return nil
}

// Progress implements operator.Source.
func (s *source) Progress(_ context.Context, t operator.Target) (operator.Progress, error) {
	if t.Instance != "" {
		return operator.Progress{Target: t, Draining: s.phase(1) != shutdown.Serving}, nil
	}
	if err := s.checkTarget(t); err != nil {
		return operator.Progress{}, err
	}
	out := operator.Progress{Target: t, Running: s.used(t.Service, t.Server)}
	if n, ok := s.notices.Get(noticeKey(t.Service, t.Server)); ok && n.Leaving {
		out.Draining, out.Since = true, unit.Duration(max(time.Since(n.Since), 0))
		out.Done = out.Running == 0
	}
	return out, nil
}

// Quarantined implements operator.Source.
func (s *source) Quarantined(context.Context) ([]operator.Quarantined, error) {
	now := time.Now()
	var out []operator.Quarantined
	for _, e := range s.quarantine.Entries(now) {
		out = append(out, operator.Quarantined{ID: e.Fingerprint.String(), Service: e.Service, Crashes: e.Crashes, Left: unit.Duration(e.Until.Sub(now))})
	}
	return out, nil
}

// Lift implements operator.Source.
func (s *source) Lift(ctx context.Context, name string) error {
	var mark quarantine.Fingerprint
	if err := mark.UnmarshalText([]byte(name)); err != nil {
		return operator.Errorf(result.BadCommand, "%v", err)
	}
	s.crashReports.Broadcast(ctx, s.quarantine.Lift(time.Now(), mark))
	return nil
}

func serviceNames(services map[id.Service]*service.File) []id.Service {
	var names []id.Service
	for name := range services {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b id.Service) int { return strings.Compare(string(a), string(b)) })
	return names
}
