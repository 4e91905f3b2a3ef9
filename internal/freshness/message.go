package freshness

import (
	"cmp"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Question asks another entry for its configuration's version and proof.
	Question struct {
		// From is the entry that asks.
		From id.Instance `cbor:"1,keyasint"`
		// Version is the version in force there, 0 if there is none.
		Version id.Version `cbor:"2,keyasint"`
		// Proved is set if it holds a proof, and Age is its age. They prove nothing to
		// the entry that is asked, but it may ask back.
		Proved bool          `cbor:"3,keyasint,omitempty"`
		Age    time.Duration `cbor:"4,keyasint,omitempty"`
	}

	// Answer is the answer to a Question.
	Answer struct {
		// From is the entry that answers.
		From id.Instance `cbor:"1,keyasint"`
		// Version is the version in force there, 0 if there is none. It is read after
		// the proof, so that the proof is never one of a newer version.
		Version id.Version `cbor:"2,keyasint"`
		// Proved is set if it holds a proof, whatever its age.
		Proved bool `cbor:"3,keyasint,omitempty"`
		// Age is the age of the proof when the question was received.
		Age time.Duration `cbor:"4,keyasint,omitempty"`
		// Era is the era of the store in the proof.
		Era store.Era `cbor:"5,keyasint,omitempty"`
		// Origin is the entry that has asked the store for the proof.
		Origin id.Instance `cbor:"6,keyasint,omitempty"`
	}
)

// QuestionOf returns the question of an entry.
func QuestionOf(self id.Instance, t *Tracker, now boottime.Instant, version id.Version) *Question {
	p, held := t.Proof()
	return &Question{From: self, Version: version, Proved: held, Age: now.Sub(p.Moment)}
}

// AskBack reports whether an entry with a proof of some age should ask the one that has sent
// the question.
func (q *Question) AskBack(proved bool, age, bound time.Duration) bool {
	return q.Proved && bound > 0 && (!proved || age-q.Age > periodOf(bound))
}

// AnswerOf returns the answer of an entry that receives a question now. Version is read after
// the proof.
func AnswerOf(self id.Instance, t *Tracker, now boottime.Instant, version func() id.Version) *Answer {
	a := &Answer{From: self}
	if p, held := t.Proof(); held {
		a.Proved, a.Age, a.Era, a.Origin = true, now.Sub(p.Moment), p.Era, cmp.Or(p.Origin, self)
	}
	a.Version = version()
	return a
}

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, eris.Wrap(err, "encode message about freshness")
}

func decode(data []byte, into any) error {
	return eris.Wrap(cbor.Unmarshal(data, into), "decode message about freshness")
}
