// Package message encodes the questions for tokens and their answers, CBOR maps with integer
// keys. One question holds the wants of several organisations; its answer holds an answer for
// each, in the same order. Organisations are identified by the hashes of their names.
//
// # Usage
//
//	data, err := message.EncodeQuestion([]message.Want{{Organisation: rank.Key(name), Tokens: 3}})
//	wants, err := message.DecodeQuestion(data)
package message

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/quota/bucket"
)

// MaxWants is the greatest number of organisations in a question. The answers of as many fit
// into a datagram.
const MaxWants = 64

type (
	// Want is the number of tokens wanted for an organisation.
	Want struct {
		_ struct{} `cbor:",toarray"`

		// Organisation is the hash of its name.
		Organisation uint64
		// Tokens is the number of tokens.
		Tokens int
	}

	question struct {
		Wants []Want `cbor:"1,keyasint"`
	}

	answers struct {
		Answers []bucket.Answer `cbor:"1,keyasint"`
	}
)

// EncodeQuestion encodes a question.
func EncodeQuestion(wants []Want) ([]byte, error) {
	data, err := cbor.Marshal(&question{Wants: wants})
	return data, eris.Wrap(err, "encode question for tokens")
}

// DecodeQuestion decodes a question.
func DecodeQuestion(data []byte) ([]Want, error) {
	var q question
	if err := cbor.Unmarshal(data, &q); err != nil {
		return nil, eris.Wrap(err, "decode question for tokens")
	}
	if len(q.Wants) > MaxWants {
		return nil, eris.Errorf("question for %d organisations, want at most %d", len(q.Wants), MaxWants)
	}
	return q.Wants, nil
}

// EncodeAnswers encodes the answers to the wants of a question.
func EncodeAnswers(all []bucket.Answer) ([]byte, error) {
	data, err := cbor.Marshal(&answers{Answers: all})
	return data, eris.Wrap(err, "encode answers for tokens")
}

// DecodeAnswers decodes the answers to a question for a number of organisations.
func DecodeAnswers(data []byte, wants int) ([]bucket.Answer, error) {
	var a answers
	if err := cbor.Unmarshal(data, &a); err != nil {
		return nil, eris.Wrap(err, "decode answers for tokens")
	}
	if len(a.Answers) != wants {
		return nil, eris.Errorf("%d answers to a question for %d organisations", len(a.Answers), wants)
	}
	return a.Answers, nil
}
