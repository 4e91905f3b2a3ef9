// Package admission defines the interface between the request path and
// admission control.
//
// The request path obtains a [Permit] from an [Admitter] before each attempt to
// send a request to a backend server. A permit represents one slot on one
// backend server. It is held until the server no longer runs the request and is
// then released exactly once, with the [Outcome] of the attempt. A request that
// can't be admitted gets a [RefusedError] without further delay, with the
// result code and the time after which to retry.
//
// # Usage
//
//	p, err := a.Admit(ctx, &req)
//	if err != nil {
//		return err // a *RefusedError
//	}
//	out := send(p.Server())
//	p.Release(out)
package admission
