package once_test

import (
	"encoding/base64"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/pkg/result"
)

func registry() *once.Registry {
	return &once.Registry{Instance: "entry-1", Incarnation: 7, Key: []byte("0123456789abcdef0123456789abcdef"), TicketTTL: time.Minute, Retention: time.Hour}
}

func TestRegistryBeginDecisions(t *testing.T) {
	a, b := once.Binding{1}, once.Binding{2}
	other := registry()
	other.Key = []byte("another key")
	renamed, restarted := registry(), registry()
	renamed.Instance, restarted.Incarnation = "entry-2", 8
	run := func(r *once.Registry, ticket string) once.Use { return r.Begin(0, "registry", ticket, a) }
	tests := map[string]struct {
		by    *once.Registry
		prior func(r *once.Registry, ticket string)
		age   time.Duration
		bind  once.Binding
		state once.State
		code  result.Code
	}{
		"first use":            {bind: a, state: once.Run},
		"running":              {prior: func(r *once.Registry, k string) { run(r, k) }, bind: a, state: once.Running},
		"another request":      {prior: func(r *once.Registry, k string) { run(r, k) }, bind: b, code: result.TicketMismatch},
		"after it did not run": {prior: func(r *once.Registry, k string) { r.End(run(r, k), result.ShedByServer, nil) }, bind: b, state: once.Run},
		"after an unknown end": {prior: func(r *once.Registry, k string) { r.End(run(r, k), result.AnswerCut, nil) }, bind: a, state: once.Ended, code: result.AnswerCut},
		"after an answer":      {prior: func(r *once.Registry, k string) { r.End(run(r, k), result.Served, &once.Answer{}) }, bind: a, state: once.Ended, code: result.Replayed},
		"answer not stored":    {prior: func(r *once.Registry, k string) { r.End(run(r, k), result.Served, nil) }, bind: a, state: once.Ended, code: result.AnswerNotKept},
		"used and expired":     {prior: func(r *once.Registry, k string) { r.End(run(r, k), result.AnswerCut, nil) }, age: time.Minute, bind: a, state: once.Ended, code: result.AnswerCut},
		"unused and expired":   {age: time.Minute, bind: a, code: result.TicketInvalid},
		"past its retention":   {age: time.Minute + time.Hour, bind: a, code: result.TicketForgotten},
		"another key":          {by: other, bind: a, code: result.TicketInvalid},
		"another instance":     {by: renamed, bind: a, state: once.OtherInstance, code: result.TicketElsewhere},
		"a later incarnation":  {by: restarted, bind: a, code: result.TicketElsewhere},
		"used, past retention": {prior: func(r *once.Registry, k string) { r.End(run(r, k), result.Served, nil) }, age: 2 * time.Hour, bind: a, code: result.TicketForgotten},
		"did not run, expired": {prior: func(r *once.Registry, k string) { r.End(run(r, k), result.ShedByServer, nil) }, age: time.Minute, bind: a, code: result.TicketInvalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := registry()
			ticket := r.Issue(0, "registry")
			if tt.prior != nil {
				tt.prior(r, ticket)
			}
			if tt.by != nil {
				r = tt.by
			}
			use := r.Begin(tt.age, "registry", ticket, tt.bind)
			is.Equal(use.State, tt.state)
			is.Equal(use.Code, tt.code)
		})
	}
}

func TestChangedTicketIsNotExecuted(t *testing.T) {
	is := is.New(t)
	r := registry()
	raw, err := base64.RawURLEncoding.DecodeString(r.Issue(0, "registry"))
	is.NoErr(err)
	for i := range raw {
		forged := append([]byte(nil), raw...)
		forged[i] ^= 1
		use := r.Begin(0, "registry", base64.RawURLEncoding.EncodeToString(forged), once.Binding{})
		is.True(use.State != once.Run) // a changed ticket is never executed
	}
}

func TestStoredAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	r := registry()
	r.MaxAnswerBytes = 10
	var tickets []string
	for range 4 {
		k := r.Issue(0, "registry")
		r.End(r.Begin(0, "registry", k, once.Binding{}), result.Served, &once.Answer{Body: make([]byte, 4)})
		tickets = append(tickets, k)
	}
	var codes []result.Code
	for _, k := range tickets {
		codes = append(codes, r.Begin(0, "registry", k, once.Binding{}).Code)
	}
	is.Equal(codes, []result.Code{result.AnswerNotKept, result.AnswerNotKept, result.Replayed, result.Replayed})
}

func FuzzTicket(f *testing.F) {
	r := registry()
	f.Add(r.Issue(0, "registry"))
	f.Add("")
	f.Add("AQAAAAAAAAAHAAAAAAAAAAEAAAANCgDw")
	f.Fuzz(func(t *testing.T, text string) {
		var k once.Ticket
		if err := k.UnmarshalText([]byte(text)); err != nil {
			return
		}
		if k.Expires < 0 || k.Service == "" || k.Instance == "" {
			t.Errorf("decoded %+v", k)
		}
	})
}
