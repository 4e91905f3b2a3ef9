// Package operator implements the HTTP API for operators, with JSON answers,
// and the client that the command line uses.
//
// A [Handler] answers from a [Source], which the daemon implements. Every
// request except /livez and /readyz needs a bearer token whose SHA-256 is in
// the settings; the token's role determines whether it may make changes. See
// docs/design/operator-access.md.
//
//	GET    /v1/status                      state of the entry, with ages
//	GET    /v1/explain?service=…&caller=…  reasons for a request's routing
//	GET    /v1/drain?service=…&server=…    progress of a drain
//	POST   /v1/drain, /v1/undrain          starts or ends the drain of a Target
//	GET    /v1/quarantine                  quarantined requests
//	DELETE /v1/quarantine/{id}             lifts a quarantine
//	GET    /metrics, /livez, /readyz
//
// # Usage
//
//	h := operator.Handler{Source: daemon, Operators: s.Operators, Log: log}
//	server := httpserver.Server{Address: s.Listeners.Operator, Handler: &h}
package operator
