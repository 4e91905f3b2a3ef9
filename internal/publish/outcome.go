package publish

import (
	"fmt"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// Outcome describes the result of a submission.
type Outcome struct {
	// Code is result.Accepted, result.Overtaken, result.RefusedByCheck,
	// result.StoreUnavailable or result.NotYetKnown.
	Code result.Code `json:"code"`
	// Ticket identifies the submission; zero if the submission was rejected
	// before it got one.
	Ticket Ticket `json:"ticket"`
	// Winner is, for result.Overtaken, the publication that has the version;
	// nil if it could not be read.
	Winner *Publication `json:"winner,omitempty"`
	// Difference is, for result.Overtaken, the winner's changes relative to
	// the version that the submission was based on.
	Difference Difference `json:"difference,omitempty"`
	// Problems are the reasons of result.RefusedByCheck.
	Problems []Problem `json:"problems,omitempty"`
	// Cause is the last store error, if an error decided the outcome.
	Cause string `json:"cause,omitempty"`
}

// String formats the outcome as a sentence.
func (o *Outcome) String() string {
	switch o.Code {
	case result.Accepted:
		return fmt.Sprintf("accepted as version %d", o.Ticket.Version)
	case result.Overtaken:
		if o.Winner == nil {
			return fmt.Sprintf("not accepted: another publication has version %d", o.Ticket.Version)
		}
		return fmt.Sprintf("not accepted: version %d was published by %s at %s (%s)",
			o.Winner.Version, o.Winner.Author, o.Winner.At.Format("15:04:05"), o.Winner.ID)
	case result.RefusedByCheck:
		return fmt.Sprintf("refused by the check: %v", o.Problems)
	case result.StoreUnavailable:
		return fmt.Sprintf("not accepted: the store is unavailable and nothing was written: %s", o.Cause)
	default:
		return fmt.Sprintf("not yet known whether it was accepted; query it again with ticket %s", o.Ticket)
	}
}
