package publish

import (
	"fmt"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// Outcome says what became of a submission.
type Outcome struct {
	// Code is result.Accepted, result.Overtaken, result.RefusedByCheck,
	// result.StoreUnavailable or result.NotYetKnown.
	Code result.Code `json:"code"`
	// Ticket identifies the submission; zero if it never got one.
	Ticket Ticket `json:"ticket"`
	// Winner is the publication that has the version instead, for
	// result.Overtaken; nil if it could not be read.
	Winner *Publication `json:"winner,omitempty"`
	// Difference is, for result.Overtaken, what the winner changed in the
	// version that the submission was based on.
	Difference Difference `json:"difference,omitempty"`
	// Problems are the reasons of result.RefusedByCheck.
	Problems []Problem `json:"problems,omitempty"`
	// Cause is the last error of the store, if one decided the outcome.
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
		return fmt.Sprintf("not yet known whether it was accepted; ask again with ticket %s", o.Ticket)
	}
}
