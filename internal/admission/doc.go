// Package admission is the seam between the request path and the decisions.
//
// The request path asks an [Admitter] for a [Permit] before each send of a
// request to a backend server. A permit is one slot on one backend server; it
// is held until the slot is really free again and then released exactly once,
// with what was seen. A request that can't be permitted gets a [RefusedError]
// at once, with the result code and the time after which to come back.
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
