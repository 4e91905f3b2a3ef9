package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/pace"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// maxReadings is the maximum number of readings of a service that are kept for notices.
const maxReadings = 32

// reading is a server's report of its pace to this entry.
type reading struct {
	server id.Server
	pace   float64
}

// EntrySeed identifies this entry in rendezvous hashing, 0 until the other entries are known.
func (r *Roster) EntrySeed() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharing.self
}

// PaceNotices returns what this entry knows of the servers' paces for other entries, of at
// most the given size in bytes: its own latest readings, and the means of some servers, which
// the round selects.
func (r *Roster) PaceNotices(now time.Time, round uint64, size int) []byte {
	view := r.View()
	var services []id.Service
	for _, svc := range view.Services() {
		if members := view.Members(svc); len(members) <= pace.MaxServers && members[0].ReportsPace(now) {
			services = append(services, svc)
		}
	}
	var out []byte
	for i := range services {
		members := view.Members(services[(i+int(round%uint64(len(services))))%len(services)])
		out = appendReadings(out, members, size)
	}
	if len(services) == 0 {
		return nil
	}
	return appendMeans(out, view.Members(services[round%uint64(len(services))]), round/uint64(len(services)), size)
}

func appendReadings(out []byte, members []*Member, size int) []byte {
	room := (size/2 - len(out) - pace.HeaderSize) / pace.ReadingSize
	if room <= 0 {
		return out
	}
	var notices []pace.Notice
	for _, one := range members[0].baseline.takeReadings(room) {
		if i, ok := findByName(members, one.server); ok {
			notices = append(notices, pace.Notice{Index: i, Pace: one.pace, Count: 1})
		}
	}
	if len(notices) == 0 {
		return out
	}
	return pace.AppendReadings(out, listOf(members), notices)
}

func appendMeans(out []byte, members []*Member, round uint64, size int) []byte {
	room := min((size-len(out)-pace.HeaderSize)/pace.MeanSize, len(members))
	if room <= 0 {
		return out
	}
	blocks := uint64((len(members) + room - 1) / room)
	first := int(round%blocks) * room
	var notices []pace.Notice
	for i, m := range members[first:min(first+room, len(members))] {
		m.state.mu.Lock()
		mean, count := m.state.pace.Known()
		m.state.mu.Unlock()
		notices = append(notices, pace.Notice{Index: first + i, Pace: mean, Count: count})
	}
	return pace.AppendMeans(out, listOf(members), notices)
}

// LearnPaces applies the notices of another entry. Those about other lists of servers than
// this entry's are ignored.
func (r *Roster) LearnPaces(now time.Time, notices []byte) {
	if len(notices) == 0 {
		return
	}
	view := r.View()
	lists := make(map[uint16][]*Member)
	for _, svc := range view.Services() {
		if members := view.Members(svc); members[0].ReportsPace(now) {
			lists[listOf(members)] = members
		}
	}
	pace.ReadNotices(notices, func(list uint16, mean bool, n pace.Notice) {
		members := lists[list]
		if n.Index >= len(members) {
			return
		}
		s := members[n.Index].state
		s.mu.Lock()
		defer s.mu.Unlock()
		if mean {
			s.pace.Hear(now, n.Pace, n.Count)
		} else {
			s.pace.Add(now, n.Pace)
		}
	})
}

// takeReadings returns the latest readings, at most n, and forgets them.
func (b *baseline) takeReadings(n int) []reading {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.readings[max(len(b.readings)-n, 0):]
	b.readings = nil
	return out
}

// listOf returns a hash of a service's servers.
func listOf(members []*Member) uint16 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range members {
		_, _ = d.WriteString(string(m.Name))
		_, _ = d.Write([]byte{0})
	}
	return uint16(d.Sum64()) //nolint:gosec // the lower bits are the hash
}
