package roster_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// reported returns a registration of i-1.
func reported(startedAt int64, sequence uint64, leaving bool) roster.Server {
	s := server("i-1")
	s.StartedAt, s.Sequence, s.Leaving = startedAt, sequence, leaving
	return s
}

// A server whose leaving or end an entry has acknowledged must get no requests because
// the store was restored from a copy that doesn't have it, and must get requests again
// once it reports so.
func TestServersAfterARestore(t *testing.T) {
	const (
		born  = 1
		later = 2
	)
	other := server("i-2")
	tests := map[string]struct {
		// before is the last registration of i-1 before the restore.
		before roster.Server
		// removed is set if it was removed before the restore.
		removed bool
		// do applies the restored store.
		do   func(r *roster.Roster)
		want []id.Server
	}{
		"same registration": {before: reported(born, 6, false), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 6, false), other})
		}, want: []id.Server{"i-1", "i-2"}},
		"leaving is lost": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
		}, want: []id.Server{"i-2"}},
		"leaving is lost and written again": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
			r.Put(start.Add(time.Second), reported(born, 6, true))
			r.Step(start.Add(time.Minute))
		}, want: []id.Server{"i-2"}},
		"leaving is lost, listed twice": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
			r.Replace(start.Add(time.Minute), []roster.Server{reported(born, 5, false), other})
			r.Step(start.Add(time.Minute))
		}, want: []id.Server{"i-2"}},
		"leaving is lost in two restores": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
			r.StoreRestored(start)
			r.Replace(start, []roster.Server{reported(born, 4, false), other})
		}, want: []id.Server{"i-2"}},
		"leaving, then ready by a later report": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
			r.Put(start, reported(born, 7, false))
		}, want: []id.Server{"i-1", "i-2"}},
		"leaving, then ready by the same report": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 6, false), other})
		}, want: []id.Server{"i-2"}},
		"leaving, then started again": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
			r.Put(start, reported(later, 1, false))
		}, want: []id.Server{"i-1", "i-2"}},
		"leaving, then removed": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
			r.Remove(start, "i-1")
			r.Replace(start, []roster.Server{reported(born, 5, false), other}) // of the same era
		}, want: []id.Server{"i-1", "i-2"}},
		"leaving and missing": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
		}, want: []id.Server{"i-2"}},
		"leaving, missing in one restore and written again after the next": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.StoreRestored(start)
			r.Replace(start, []roster.Server{reported(born, 5, false), other})
			r.Put(start, reported(born, 6, true))
			r.Put(start, reported(born, 7, false))
		}, want: []id.Server{"i-1", "i-2"}},
		"leaving, missing in one restore and ready in the next": {before: reported(born, 6, true), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.StoreRestored(start)
			r.Replace(start, []roster.Server{reported(born, 6, false), other})
		}, want: []id.Server{"i-2"}},
		"registration is lost in one restore and written again after the next": {before: reported(born, 6, false), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.Step(start.Add(grace))
			r.StoreRestored(start.Add(grace))
			r.Replace(start.Add(grace), []roster.Server{other})
			r.Put(start.Add(grace), reported(born, 6, false))
		}, want: []id.Server{"i-1", "i-2"}},
		"end is lost": {before: reported(born, 6, false), removed: true, do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 6, false), other})
			r.Step(start.Add(time.Hour))
			r.Replace(start.Add(time.Hour), []roster.Server{reported(born, 6, false), other})
		}, want: []id.Server{"i-2"}},
		"end is lost, seen by a change": {before: reported(born, 6, false), removed: true, do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.Put(start, reported(born, 5, false))
		}, want: []id.Server{"i-2"}},
		"end is lost, then removed again": {before: reported(born, 6, false), removed: true, do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 6, false), other})
			r.Remove(start, "i-1")
			r.Step(start.Add(time.Second))
			r.Put(start.Add(time.Second), reported(born, 6, false))
		}, want: []id.Server{"i-2"}},
		"end was a lapse, later report": {before: reported(born, 6, false), removed: true, do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 6, false), other})
			r.Put(start, reported(born, 9, false))
		}, want: []id.Server{"i-1", "i-2"}},
		"end is lost, started again": {before: reported(born, 6, false), removed: true, do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(later, 1, false), other})
		}, want: []id.Server{"i-1", "i-2"}},
		"restart is lost": {before: reported(later, 1, false), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{reported(born, 6, true), other})
		}, want: []id.Server{"i-1", "i-2"}},
		"registration is lost, within the grace period": {before: reported(born, 6, false), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.Step(start.Add(grace - 1))
		}, want: []id.Server{"i-1", "i-2"}},
		"registration is lost, after the grace period": {before: reported(born, 6, false), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.Step(start.Add(grace))
		}, want: []id.Server{"i-2"}},
		"registration is lost and written again": {before: reported(born, 6, false), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.Put(start.Add(time.Second), reported(born, 6, false))
			r.Step(start.Add(time.Minute))
		}, want: []id.Server{"i-1", "i-2"}},
		"registration is lost and written again after the grace period": {before: reported(born, 6, false), do: func(r *roster.Roster) {
			r.Replace(start, []roster.Server{other})
			r.Step(start.Add(grace))
			r.Put(start.Add(time.Minute), reported(born, 6, false))
		}, want: []id.Server{"i-1", "i-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.Replace(start.Add(-time.Minute), []roster.Server{tt.before, other})
			if tt.removed {
				r.Remove(start.Add(-time.Second), "i-1")
			}
			r.StoreRestored(start)
			tt.do(r)
			is.Equal(names(r), tt.want)
		})
	}
}

// A registration that differs by its sequence alone must be no news of the server: it must
// not begin another slow start, nor be logged. Its sequence counts after a restore.
func TestRegistrationWithAnotherSequence(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	r := newRoster()
	r.Log = slog.New(slog.NewTextHandler(&logged, nil))
	cold := reported(1, 6, false)
	cold.Cold = 3 * time.Second
	r.Replace(start, []roster.Server{cold})
	cold.Sequence = 9
	r.Replace(start.Add(2*time.Second), []roster.Server{cold})
	cold.Sequence = 0
	r.Bootstrap(start.Add(2*time.Second), []roster.Server{cold}) // of a build that sends no sequence
	is.True(!r.View().Members(svc)[0].Cold(start.Add(3 * time.Second)))
	is.Equal(strings.Count(logged.String(), "backend server known"), 1)
	r.Remove(start.Add(3*time.Second), "i-1")
	r.StoreRestored(start.Add(4 * time.Second))
	r.Replace(start.Add(4*time.Second), []roster.Server{reported(1, 8, false)})
	is.Equal(len(names(r)), 0)
}

// A peer's state must not undo a leaving or an end that it doesn't know of, unless the
// peer's build sends no sequence.
func TestBootstrap(t *testing.T) {
	other := server("i-2")
	tests := map[string]struct {
		before  roster.Server
		removed bool
		peer    []roster.Server
		want    []id.Server
	}{
		"later registration":               {reported(1, 6, true), false, []roster.Server{reported(1, 7, false), other}, []id.Server{"i-1", "i-2"}},
		"peer doesn't know of the leaving": {reported(1, 6, true), false, []roster.Server{reported(1, 5, false), other}, []id.Server{"i-2"}},
		"peer doesn't know of the end":     {reported(1, 6, false), true, []roster.Server{reported(1, 6, false), other}, []id.Server{"i-2"}},
		"peer doesn't know of the restart": {reported(2, 1, false), false, []roster.Server{reported(1, 6, true), other}, []id.Server{"i-1", "i-2"}},
		"leaving":                          {reported(1, 6, false), false, []roster.Server{reported(1, 7, true), other}, []id.Server{"i-2"}},
		"leaving, without a sequence":      {reported(1, 6, false), false, []roster.Server{reported(1, 0, true), other}, []id.Server{"i-2"}},
		"missing":                          {reported(1, 6, false), false, []roster.Server{other}, []id.Server{"i-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.Replace(start, []roster.Server{tt.before, other})
			if tt.removed {
				r.Remove(start, "i-1")
			}
			r.Bootstrap(start, tt.peer)
			is.Equal(names(r), tt.want)
		})
	}
}

// Within an era the store's word must count as before: a registration that comes back
// unchanged after its removal is used.
func TestRemovedServerComesBackWithinAnEra(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.StoreRestored(start.Add(-time.Minute))
	r.Replace(start, []roster.Server{reported(1, 6, true)})
	r.Remove(start, "i-1")
	r.Put(start, reported(1, 5, false))
	is.Equal(names(r), []id.Server{"i-1"})
	r.Put(start, reported(1, 4, true))
	is.Equal(len(names(r)), 0)
	r.Put(start, reported(1, 4, false))
	is.Equal(names(r), []id.Server{"i-1"})
}

// A zone must not get requests again because its evacuation is missing in the copy from
// which the store was restored, unless it stays missing.
func TestEvacuatedZonesAfterARestore(t *testing.T) {
	both := map[id.Zone]bool{"a-1": true, "b-1": true}
	tests := map[string]struct {
		do   func(r *roster.Roster)
		want []id.Zone
	}{
		"missing, within the grace period": {func(r *roster.Roster) {
			r.SetEvacuated(start, map[id.Zone]bool{"b-1": true})
			r.Step(start.Add(grace - 1))
		}, []id.Zone{"a-1", "b-1"}},
		"missing, after the grace period": {func(r *roster.Roster) {
			r.SetEvacuated(start, map[id.Zone]bool{"b-1": true})
			r.Step(start.Add(grace))
		}, []id.Zone{"b-1"}},
		"written again": {func(r *roster.Roster) {
			r.SetEvacuated(start, nil)
			r.SetEvacuated(start.Add(time.Second), map[id.Zone]bool{"a-1": true})
			r.Step(start.Add(time.Minute))
		}, []id.Zone{"a-1"}},
		"written again, then taken back": {func(r *roster.Roster) {
			r.SetEvacuated(start, nil)
			r.SetEvacuated(start, both)
			r.SetEvacuated(start, map[id.Zone]bool{"b-1": true})
		}, []id.Zone{"b-1"}},
		"in the copy, then taken back": {func(r *roster.Roster) {
			r.SetEvacuated(start, both)
			r.SetEvacuated(start, map[id.Zone]bool{"a-1": true})
		}, []id.Zone{"a-1"}},
		"taken back in the lost time": {func(r *roster.Roster) {
			r.SetEvacuated(start, map[id.Zone]bool{"a-1": true, "b-1": true, "c-1": true})
		}, []id.Zone{"a-1", "b-1", "c-1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.SetEvacuated(start.Add(-time.Minute), both)
			r.EvacuationsRestored(start)
			tt.do(r)
			is.Equal(r.Evacuated(), tt.want)
		})
	}
}

// The first list after a restore must be logged once, with what was kept beside it; an
// outdated registration that is listed again and again must be logged once.
func TestRestoreIsLogged(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	r := newRoster()
	r.Log = slog.New(slog.NewTextHandler(&logged, nil))
	r.Replace(start, []roster.Server{reported(1, 6, true), server("i-2"), server("i-3"), server("i-4")})
	r.Remove(start, "i-2")
	r.StoreRestored(start)
	for range 3 {
		r.Replace(start, []roster.Server{reported(1, 5, false), server("i-2"), server("i-4")})
	}
	is.Equal(strings.Count(logged.String(), `msg="backend servers after a restore of the store" listed=3 known=3 outdated=1 ended=1 missing=1`), 1)
	is.Equal(strings.Count(logged.String(), `msg="outdated registration ignored"`), 2)
}
