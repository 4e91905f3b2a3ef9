// Package backend speaks HTTP/1.1 to backend servers: it sends one request to
// one server, once, and says what became of it.
//
// The outcome is a result.Code. It says that the request did not run only if
// no byte of it was taken by the connection, or if the server itself answered
// that it shed the request. After the first byte, everything but a whole
// answer is unknown.
//
// A [Client] never sends a request again by itself, and trusts a connection
// no further than it must. Connections are used again for GET and HEAD alone,
// and only toward servers that repeat the id of the send in their answer; an
// answer with another id ends its connection and is not passed on. All other
// requests get a connection of their own, so that a connection that has gone
// silent unnoticed can't make their outcome unknown.
//
// Silence is judged by bytes: a connection on which a write has not moved for
// [Client.Stall], or an answer that was begun for [Request.Patience], is ended.
// While nothing is to be written or read it is not judged, so that a slow
// caller can't end it. The kernel ends connections whose bytes or probes are
// not acknowledged.
//
// # Usage
//
//	ans, err := c.Send(ctx, &backend.Request{Server: s, HTTP: req, ID: "e1-17"})
//	if err != nil {
//		return err // a *backend.SendError with the result code
//	}
//	defer ans.Close()
//	_, err = io.Copy(w, ans.Body) // a *backend.SendError as well
package backend
