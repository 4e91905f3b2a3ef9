// Package operator speaks to operators: an HTTP listener with JSON answers,
// and the client of it that the command line uses.
//
// A [Handler] answers from a [Source], which the daemon implements. Every
// request but /livez and /readyz needs a bearer token whose SHA-256 is in the
// settings; the token's role tells whether it may change anything. See
// docs/design/operator-access.md.
//
//	GET    /v1/status                      what the entry knows, with ages
//	GET    /v1/explain?service=…&caller=…  why a request goes where it goes
//	GET    /v1/drain?service=…&server=…    how far a drain is
//	POST   /v1/drain, /v1/undrain          a Target
//	GET    /v1/quarantine                  quarantined requests
//	DELETE /v1/quarantine/{id}             lifts one
//	GET    /metrics, /livez, /readyz
//
// # Usage
//
//	h := operator.Handler{Source: daemon, Operators: s.Operators, Log: log}
//	server := httpserver.Server{Address: s.Listeners.Operator, Handler: &h}
package operator
