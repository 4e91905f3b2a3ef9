package result

import "net/http"

// Codes of operator commands.
const (
	// OperatorUnknown means that the bearer token is missing or unknown.
	OperatorUnknown Code = 6000
	// OperatorRole means that the operator's role does not allow the command.
	OperatorRole Code = 6001
	// BadCommand means that the command is malformed.
	BadCommand Code = 6002
	// NoTarget means that the target of the command does not exist.
	NoTarget Code = 6003
	// DrainUnsafe means that a drain would reduce a region's headroom below its
	// floor.
	DrainUnsafe Code = 6004
	// CommandFailed means that the entry failed to execute the command.
	CommandFailed Code = 6005
	// EntryUnreachable means that the entry's operator listener is unreachable.
	EntryUnreachable Code = 6006
	// WaitEnded means that the wait timed out or was interrupted before the
	// drain was complete; the drain continues.
	WaitEnded Code = 6007
	// PromiseBroken means that a trial found a violated guarantee.
	PromiseBroken Code = 6008
)

func operatorCodes() []Info {
	return []Info{
		{OperatorUnknown, "operatorUnknown", http.StatusUnauthorized, No, "the bearer token is missing or not known", "", "use a token whose hash is in the entry's settings"},
		{OperatorRole, "operatorRole", http.StatusForbidden, No, "the operator's role does not allow the command", "", "use a token with the role write"},
		{BadCommand, "badCommand", http.StatusBadRequest, No, "the command is malformed", "", "correct the command"},
		{NoTarget, "noTarget", http.StatusNotFound, No, "what the command names does not exist", "", "check the names in status"},
		{DrainUnsafe, "drainUnsafe", http.StatusConflict, No, "the drain would take a region below its headroom floor", "", "wait for other drains or lower headroomFloor"},
		{CommandFailed, "commandFailed", http.StatusInternalServerError, Unknown, "the entry could not do the command", "", "look at status and the entry's log"},
		{EntryUnreachable, "entryUnreachable", 0, Unknown, "the entry's operators' listener can't be asked", "", "look at status, then ask another entry"},
		{WaitEnded, "waitEnded", 0, Unknown, "the time to wait ended before the drain did; the drain goes on", "", "wait again, or look at status"},
		{PromiseBroken, "promiseBroken", 0, Unknown, "a trial saw a promise broken", "", "read the trial's report"},
	}
}
