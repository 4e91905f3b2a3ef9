package operator

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const maxBody = 64 << 10

type (
	// Handler handles requests of the operators' listener.
	Handler struct {
		// Source provides the answers and carries out commands.
		Source Source
		// Operators lists the operators that may send requests.
		Operators []settings.Operator
		// Log receives a message for each command and each rejected request.
		Log *slog.Logger
	}

	// action handles a request and returns the value to send as JSON.
	action func(r *http.Request) (any, error)
)

// ServeHTTP handles a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/livez":
		w.WriteHeader(http.StatusNoContent)
	case "/readyz":
		h.ready(w)
	default:
		h.authorised(w, r)
	}
}

func (h *Handler) ready(w http.ResponseWriter) {
	if err := h.Source.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) authorised(w http.ResponseWriter, r *http.Request) {
	who, ok := h.operator(r)
	if !ok {
		h.Log.Warn("operator request rejected", "remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, Errorf(result.OperatorUnknown, "the token is missing or not known"))
		return
	}
	changes := r.Method != http.MethodGet
	if changes && who.Role != settings.Writer {
		h.Log.Warn("operator request rejected", "operator", who.Name, "role", who.Role, "method", r.Method, "path", r.URL.Path)
		writeError(w, Errorf(result.OperatorRole, "the role %s may not do this", who.Role))
		return
	}
	if changes {
		h.Log.Info("operator command", "operator", who.Name, "method", r.Method, "path", r.URL.Path)
	}
	h.route(w, r)
}

// operator returns the operator that the bearer token belongs to. It compares
// the token's hash with all hashes, each in constant time.
func (h *Handler) operator(r *http.Request) (settings.Operator, bool) {
	var found settings.Operator
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := settings.HashToken(token)
	matched := false
	for _, o := range h.Operators {
		if hash.Equal(o.Hash) {
			found, matched = o, true
		}
	}
	return found, ok && matched
}

func (h *Handler) route(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/metrics" {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		h.Source.WriteMetrics(w)
		return
	}
	act := h.action(r.Method, r.URL.Path)
	if act == nil {
		writeError(w, Errorf(result.NoTarget, "there is no %s %s", r.Method, r.URL.Path))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	answer, err := act(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (h *Handler) action(method, path string) action {
	if method == http.MethodDelete && strings.HasPrefix(path, "/v1/quarantine/") {
		return h.lift
	}
	switch method + " " + path {
	case "GET /v1/status":
		return func(r *http.Request) (any, error) { return h.Source.Status(r.Context()) }
	case "GET /v1/explain":
		return h.explain
	case "GET /v1/drain":
		return h.progress
	case "POST /v1/drain":
		return h.command(h.Source.Drain)
	case "POST /v1/undrain":
		return h.command(h.Source.Undrain)
	case "GET /v1/quarantine":
		return func(r *http.Request) (any, error) { return h.Source.Quarantined(r.Context()) }
	default:
		return nil
	}
}

func (h *Handler) explain(r *http.Request) (any, error) {
	values := r.URL.Query()
	q := Query{Method: values.Get("method"), Path: values.Get("path")}
	if err := q.Service.UnmarshalText([]byte(values.Get("service"))); err != nil {
		return nil, Errorf(result.BadCommand, "service: %s", err)
	}
	caller, err := netip.ParseAddr(values.Get("caller"))
	if err != nil {
		return nil, Errorf(result.BadCommand, "caller %q is not an IP address", values.Get("caller"))
	}
	q.Caller = caller
	return h.Source.Explain(r.Context(), q)
}

func (h *Handler) progress(r *http.Request) (any, error) {
	t, err := targetOf(r.URL.Query())
	if err != nil {
		return nil, err
	}
	return h.Source.Progress(r.Context(), t)
}

func targetOf(values url.Values) (Target, error) {
	var t Target
	parts := map[string]func([]byte) error{
		"service": t.Service.UnmarshalText, "server": t.Server.UnmarshalText, "instance": t.Instance.UnmarshalText,
	}
	for key, decode := range parts {
		text := values.Get(key)
		if text == "" {
			continue
		}
		if err := decode([]byte(text)); err != nil {
			return t, Errorf(result.BadCommand, "%s: %s", key, err)
		}
	}
	if err := t.Check(); err != nil {
		return t, err
	}
	return t, nil
}

func (h *Handler) command(do func(context.Context, Target) (Progress, error)) action {
	return func(r *http.Request) (any, error) {
		var t Target
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&t); err != nil {
			return nil, Errorf(result.BadCommand, "target: %s", err)
		}
		if err := t.Check(); err != nil {
			return nil, err
		}
		return do(r.Context(), t)
	}
}

func (h *Handler) lift(r *http.Request) (any, error) {
	id := strings.TrimPrefix(r.URL.Path, "/v1/quarantine/")
	return struct{}{}, h.Source.Lift(r.Context(), id)
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = Errorf(result.CommandFailed, "%s", err)
	}
	info, _ := e.Code.Info()
	w.Header().Set(result.HeaderCode, e.Code.String())
	writeJSON(w, info.Status, e)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n')) //nolint:errcheck // the client may have disconnected
}
