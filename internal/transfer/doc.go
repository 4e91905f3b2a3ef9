// Package transfer limits calls whose answers may be large by their progress.
//
// A limit for a whole call makes an answer that takes longer on a slow or busy link
// impossible to get: each attempt is given up and starts anew, and loads the link all the
// time. A [Transfer] limits the time to the first byte of the answer, then the time without
// a further byte, and only as a last resort the whole.
//
// # Usage
//
//	ctx, t := transfer.Begin(ctx, transfer.Limits{First: wait + timeout, Stall: timeout, Total: time.Minute})
//	defer t.End()
//	resp, err := client.Do(req.WithContext(ctx))
//	if err != nil {
//		return t.Explain(err)
//	}
//	body, err := io.ReadAll(t.Reader(resp.Body))
//	return t.Explain(err)
package transfer
