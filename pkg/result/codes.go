package result

import (
	"net/http"
	"slices"
)

// Codes of answered and refused requests.
const (
	// Served means that the backend server's whole answer was passed on.
	Served Code = 1000
	// Replayed means that the kept answer of a once-only request was sent
	// again.
	Replayed Code = 1001
	// AnswerNotKept means that a once-only request ran and that its answer is
	// no longer kept.
	AnswerNotKept Code = 1002

	// NoService means that no service of that name is configured.
	NoService Code = 2000
	// NoClass means that no request class matches method and path.
	NoClass Code = 2001
	// BadRequest means that the request itself is malformed.
	BadRequest Code = 2002
	// BodyTooLarge means that the announced body is over the class's limit.
	BodyTooLarge Code = 2003
	// NoCapacity means that no slot came free within the deadline.
	NoCapacity Code = 2010
	// ShiftCapped means that the cap on a shift of traffic toward the region
	// is used up.
	ShiftCapped Code = 2011
	// LinkFull means that the link's budget has no room for the body.
	LinkFull Code = 2012
	// NoServer means that no backend server may be used.
	NoServer Code = 2013
	// ConnectFailed means that no connection to a backend server came about.
	ConnectFailed Code = 2014
	// ShedByServer means that the backend server refused the request unrun.
	ShedByServer Code = 2015
	// DeadlinePassed means that the deadline passed before anything was sent.
	DeadlinePassed Code = 2016
	// Quarantined means that the request resembles ones that crashed backend
	// servers.
	Quarantined Code = 2017
	// EntryLeaving means that the entry takes no new requests.
	EntryLeaving Code = 2018
	// NotReady means that the entry has no configuration it may serve.
	NotReady Code = 2019
	// TicketMissing means that a once-only request came without a ticket.
	TicketMissing Code = 2020
	// TicketInvalid means that the ticket is malformed, forged or expired.
	TicketInvalid Code = 2021
	// TicketMismatch means that the ticket was used for another request.
	TicketMismatch Code = 2022
	// CallerLeft means that the caller went away before anything was sent.
	CallerLeft Code = 2023

	// AnswerCut means that the connection ended before the whole answer.
	AnswerCut Code = 3000
	// AnswerLate means that the deadline passed after the request was sent.
	AnswerLate Code = 3001
	// CallerGone means that the caller went away after the request was sent.
	CallerGone Code = 3002
	// ConnectionSilent means that the connection made no progress.
	ConnectionSilent Code = 3003
	// TicketElsewhere means that the ticket belongs to an entry that can't be
	// asked.
	TicketElsewhere Code = 3004
	// BodyOverLimit means that an unannounced body turned out to be over the
	// class's limit while it was passed on.
	BodyOverLimit Code = 3005
	// TicketForgotten means that the ticket ended so long ago that nothing is
	// known of it any more.
	TicketForgotten Code = 3006
)

// Codes of settings and service files.
const (
	// UnknownKey means that a file holds a key that is not known.
	UnknownKey Code = 4000
	// WrongType means that a value has the wrong type or form.
	WrongType Code = 4001
	// MissingValue means that a required value is absent.
	MissingValue Code = 4002
	// ImpossibleValue means that a value is out of its bounds or contradicts
	// another.
	ImpossibleValue Code = 4003
	// UnreadableFile means that a file can't be read or is not TOML.
	UnreadableFile Code = 4004
)

// Codes of the platform's store and of publication.
const (
	// Accepted means that a publication is in force as its version.
	Accepted Code = 5000
	// Overtaken means that another publication has the version.
	Overtaken Code = 5001
	// NotYetKnown means that a publication's write may still take effect.
	NotYetKnown Code = 5002
	// RefusedByCheck means that a submission would break a promise.
	RefusedByCheck Code = 5003
	// StoreUnavailable means that the store could not be asked and that
	// nothing was written.
	StoreUnavailable Code = 5004
	// OlderState means that the store or a peer showed an older version than
	// the one in force, which was ignored.
	OlderState Code = 5010
	// LeaseLost means that a lease has a newer term than the holder's.
	LeaseLost Code = 5020
	// LeaseUnsure means that a holder can't confirm its term and doesn't act.
	LeaseUnsure Code = 5021
)

// Codes returns the table of all codes in ascending order.
func Codes() []Info {
	return slices.Concat(requestCodes(), fileCodes(), storeCodes(), operatorCodes())
}

func requestCodes() []Info { return slices.Concat(servedCodes(), refusedCodes(), unknownCodes()) }

func servedCodes() []Info {
	return []Info{
		{Served, "served", 0, Yes, "the backend server's whole answer was passed on", "use the answer", "nothing"},
		{Replayed, "replayed", 0, Yes, "a resend of a once-only request got the kept answer of the first", "use the answer", "nothing"},
		{AnswerNotKept, "answerNotKept", http.StatusGone, Yes, "a once-only request ran, and its answer is no longer kept", "look up the outcome", "nothing"},
	}
}

func refusedCodes() []Info {
	return []Info{
		{NoService, "noService", http.StatusNotFound, No, "no service of that name is configured", "check the name", "publish the service file"},
		{NoClass, "noClass", http.StatusNotFound, No, "no request class matches method and path", "check method and path", "add a class to the service file"},
		{BadRequest, "badRequest", http.StatusBadRequest, No, "the request is malformed", "correct it", "nothing"},
		{BodyTooLarge, "bodyTooLarge", http.StatusRequestEntityTooLarge, No, "the announced body is over the class's limit", "send less", "raise bodyLimit if it is too small"},
		{NoCapacity, "noCapacity", http.StatusServiceUnavailable, No, "no slot came free within the time a request may wait", "send again after Retry-After", "look at the headroom in status"},
		{ShiftCapped, "shiftCapped", http.StatusServiceUnavailable, No, "the cap on a shift toward the region is used up", "send again after Retry-After", "raise shiftCap if the region can carry more"},
		{LinkFull, "linkFull", http.StatusServiceUnavailable, No, "the link between the regions has no room for the body", "send again after Retry-After", "look at the links in status"},
		{NoServer, "noServer", http.StatusServiceUnavailable, No, "no backend server may be used", "send again after Retry-After", "look at the backend servers in status"},
		{ConnectFailed, "connectFailed", http.StatusBadGateway, No, "no connection to a backend server came about", "send again", "look at the backend server"},
		{ShedByServer, "shedByServer", http.StatusServiceUnavailable, No, "the backend server refused the request before running it", "send again after Retry-After", "look at the backend server's load"},
		{DeadlinePassed, "deadlinePassed", http.StatusGatewayTimeout, No, "the deadline passed before any byte was sent", "send again with more time", "look at the waiting times"},
		{Quarantined, "quarantined", http.StatusServiceUnavailable, No, "requests like this one crashed backend servers", "send it again after Retry-After at the earliest", "see docs/operators/quarantine.md"},
		{EntryLeaving, "entryLeaving", http.StatusServiceUnavailable, No, "the entry is about to stop and takes no new requests", "look up again and use another entry", "nothing"},
		{NotReady, "notReady", http.StatusServiceUnavailable, No, "the entry has no configuration that it may serve", "use another entry", "see docs/operators/store-outage.md"},
		{TicketMissing, "ticketMissing", http.StatusPreconditionRequired, No, "a once-only request came without a ticket", "get a ticket and send it along", "nothing"},
		{TicketInvalid, "ticketInvalid", http.StatusPreconditionFailed, No, "the ticket is malformed, forged, or expired unused", "get a new ticket", "nothing"},
		{TicketMismatch, "ticketMismatch", http.StatusConflict, No, "the ticket was used for a request with another method, path or body", "get a new ticket", "nothing"},
		{CallerLeft, "callerLeft", http.StatusServiceUnavailable, No, "the caller went away before any byte was sent", "send again", "nothing"},
	}
}

func unknownCodes() []Info {
	return []Info{
		{AnswerCut, "answerCut", http.StatusBadGateway, Unknown, "the connection ended before the whole answer", "reads: send again; others: look up the outcome", "look at the backend server"},
		{AnswerLate, "answerLate", http.StatusGatewayTimeout, Unknown, "the deadline passed after bytes had been sent", "reads: send again; others: look up the outcome", "look at the backend server"},
		{CallerGone, "callerGone", http.StatusBadGateway, Unknown, "the caller went away after bytes had been sent", "others than reads: look up the outcome", "nothing"},
		{ConnectionSilent, "connectionSilent", http.StatusBadGateway, Unknown, "the connection to the backend server stopped moving", "reads: send again; others: look up the outcome", "look at the network between the zones"},
		{TicketElsewhere, "ticketElsewhere", http.StatusBadGateway, Unknown, "the ticket belongs to an entry that can't be asked", "send again to that entry, or look up the outcome", "see whether that entry is lost"},
		{BodyOverLimit, "bodyOverLimit", http.StatusRequestEntityTooLarge, Unknown, "an unannounced body went over the class's limit while it was passed on", "send less; others than reads: look up the outcome", "raise bodyLimit if it is too small"},
		{TicketForgotten, "ticketForgotten", http.StatusGone, Unknown, "the ticket ended so long ago that nothing is known of it any more", "look up the outcome", "nothing"},
	}
}

func fileCodes() []Info {
	return []Info{
		{UnknownKey, "unknownKey", 0, No, "a file holds a key that is not known", "", "remove or correct the key"},
		{WrongType, "wrongType", 0, No, "a value has the wrong type or form", "", "correct the value"},
		{MissingValue, "missingValue", 0, No, "a required value is absent", "", "add it"},
		{ImpossibleValue, "impossibleValue", 0, No, "a value is out of bounds or contradicts another", "", "correct the value"},
		{UnreadableFile, "unreadableFile", 0, No, "a file can't be read or is not TOML", "", "correct the file"},
	}
}

func storeCodes() []Info {
	return []Info{
		{Accepted, "accepted", 0, Yes, "a publication is in force as its version", "", "nothing"},
		{Overtaken, "overtaken", 0, No, "another publication has the version", "", "look at the difference and publish again"},
		{NotYetKnown, "notYetKnown", 0, Unknown, "a publication's write may still take effect", "", "ask again with the ticket; see docs/operators/two-publishers.md"},
		{RefusedByCheck, "refusedByCheck", 0, No, "a submission would break a promise", "", "correct the service files"},
		{StoreUnavailable, "storeUnavailable", 0, No, "the store could not be asked and nothing was written", "", "see docs/operators/store-outage.md"},
		{OlderState, "olderState", 0, No, "the store or a peer showed an older version than the one in force", "", "nothing, unless it lasts"},
		{LeaseLost, "leaseLost", 0, No, "a lease has a newer term than the holder's", "", "nothing"},
		{LeaseUnsure, "leaseUnsure", 0, No, "a holder can't confirm its term and doesn't act", "", "see docs/operators/store-outage.md"},
	}
}
