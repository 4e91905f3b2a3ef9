// Package backend is the HTTP/1.1 client for backend servers: it sends one
// request to one server, exactly as often as it is called, and reports the
// outcome.
//
// The outcome is a result.Code. It states that the request did not run only if
// the connection accepted no byte of it, or if the server itself responded that
// it shed the request. After the first byte, anything but a complete response
// leaves it unknown whether the request ran.
//
// A [Client] never retries a request by itself. Connections are kept alive for
// GET and HEAD only, and only to servers that echo the ID of the send in their
// response; a response with another ID closes its connection and is not
// returned. All other requests use a new connection each, so that a connection
// that has stalled unnoticed can't make their outcome unknown.
//
// Stalls are detected by bytes transferred: a connection is closed if a write
// makes no progress for [Client.WriteStallTimeout], or if no byte of a started
// response arrives for [Request.ReadStallTimeout]. No timeout runs while
// nothing is to be written or read, so that a slow caller can't cause one. The
// kernel closes connections whose data or keep-alive probes are not
// acknowledged.
//
// # Usage
//
//	resp, err := c.Send(ctx, &backend.Request{Server: s, HTTP: req, ID: "e1-17"})
//	if err != nil {
//		return err // a *backend.SendError with the result code
//	}
//	defer resp.Close()
//	_, err = io.Copy(w, resp.Body) // a *backend.SendError as well
package backend
