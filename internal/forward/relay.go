package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/linger"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Headers of a request that an entry passes on to another one, and of its answer.
const (
	// relayCaller holds the address of the caller.
	relayCaller = "Shallotpier-Relay-Caller"
	// relayService holds the service that the first entry has picked.
	relayService = "Shallotpier-Relay-Service"
	// relaySends holds the number of sends to servers that the first entry has made.
	relaySends = "Shallotpier-Relay-Sends"
	// relayVersion holds the version of the first entry's configuration.
	relayVersion = "Shallotpier-Relay-Version"
	// relayOrganised is set if the first entry's configuration holds organisations.
	relayOrganised = "Shallotpier-Relay-Organised"
	// relayRegions holds the regions that the first entry allows, if it doesn't allow all.
	relayRegions = "Shallotpier-Relay-Regions"
	// relayServer holds, in the answer, the name of the server that has given it.
	relayServer = "Shallotpier-Relay-Server"
)

type (
	// Relays selects the entries to pass a request on to.
	Relays interface {
		// LinksLost reports whether nearly all servers of a service are out of reach.
		LinksLost(svc id.Service) bool
		// MissesMost reports whether most of them are.
		MissesMost(svc id.Service) bool
		// Entries returns the entries that can, in order, in allowed regions only.
		Entries(now time.Time, svc id.Service, allows func(id.Region) bool) []heartbeat.Node
		// Failed records that an entry took no connection.
		Failed(now time.Time, entry id.Instance)
	}

	// relayOrigin is what the entry that has passed a request on says of it.
	relayOrigin struct {
		caller  string     // the caller's address
		service id.Service // drawn for the request
		sends   int        // to servers, so far
		version id.Version // of the configuration
		// organised is set if that holds organisations, and regions are those that the route
		// and the organisation allow, empty if they allow all.
		organised bool
		regions   []id.Region
	}
)

// Relayed returns the handler for requests that other entries pass on. It must not be
// reachable for callers. Requests are not passed on again.
func (h *Handler) Relayed() http.Handler {
	return &linger.Handler{Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sends, err := strconv.Atoi(r.Header.Get(relaySends))
		version, versionErr := strconv.ParseUint(r.Header.Get(relayVersion), 10, 64)
		regions, regionsErr := decodeRegions(r.Header.Get(relayRegions))
		if err != nil || versionErr != nil || regionsErr != nil || sends < 0 {
			// The entry that passes the request on is of another build, and follows with
			// another entry. The request itself is not malformed.
			h.Log.Warn("relayed request not taken", "request", r.Header.Get(h.Headers.RequestID), "sends", r.Header.Get(relaySends),
				"version", r.Header.Get(relayVersion), "regions", r.Header.Get(relayRegions))
			c := &call{h: h, w: w, r: r, id: r.Header.Get(h.Headers.RequestID)}
			c.refuse(result.NotReady)
			return
		}
		o := &relayOrigin{
			caller: r.Header.Get(relayCaller), service: id.Service(r.Header.Get(relayService)), sends: sends, version: id.Version(version),
			organised: r.Header.Get(relayOrganised) != "", regions: regions,
		}
		for _, name := range []string{relayCaller, relayService, relaySends, relayVersion, relayOrganised, relayRegions} {
			r.Header.Del(name)
		}
		h.serve(w, r, o)
	})}
}

// passOn passes the request on to another entry that reaches more servers, and reports
// whether that gave the final answer. An entry that took no connection, or that can't help, is
// followed by another one, unless its connection hung, which may take the time of
// the request.
func (c *call) passOn() bool {
	if c.origin != nil || c.passedOn || c.h.Relays == nil || c.bodyBegun() {
		return false
	}
	c.passedOn = true
	for _, e := range c.h.Relays.Entries(time.Now(), c.service, c.allows) {
		if code := c.admitAgain(); code != 0 {
			c.refuseUnsent(code, 0)
			return true
		}
		start := time.Now()
		ans, err := c.h.RelayClient.Send(c.sendCtx, &upstream.Request{
			Server: id.Server(e.Instance), Address: e.Relay.String(), HTTP: c.relayRequest(), ID: c.id, Idempotent: c.idempotent(), BodyKept: c.stream == nil,
			Undelivered: c.h.undelivered(c.id, string(e.Instance)),
		})
		if err != nil {
			failed := asSendError(err)
			c.h.Log.Info("request not passed on", "request", c.id, "instance", e.Instance, "code", failed.Code, "sent", failed.Sent, "err", failed.Err)
			if failed.Code == result.ConnectFailed {
				c.h.Relays.Failed(time.Now(), e.Instance)
				if time.Since(start) >= c.h.RelayClient.ConnectTimeout {
					return false
				}
				continue
			}
			if c.mayHaveRun && failed.Code.Ran() == result.No {
				failed.Code = result.AnswerCut
			}
			c.refuse(c.stream.failureCode(failed.Code))
			return true
		}
		if cantHelp(ans) && !c.bodyBegun() {
			ans.Close()
			c.h.Log.Info("request not passed on", "request", c.id, "instance", e.Instance, "code", relayedCode(ans.Header), "sent", false)
			continue
		}
		c.relay = e.Instance
		c.h.Metrics.GetOrCreateCounter(`shallotpier_relayed_total{direction="out"}`).Inc()
		c.writeRelayed(ans)
		return true
	}
	return false
}

// bodyBegun reports whether a part of a body that isn't buffered has been sent, so that it
// can't be sent again.
func (c *call) bodyBegun() bool { return c.stream != nil && c.stream.begun.Load() }

// relayRequest returns the request to send to another entry.
func (c *call) relayRequest() *http.Request {
	out := c.outgoing()
	c.setRelayedIdentity(out.Header)
	out.Header.Set(relayCaller, c.callerAddress())
	out.Header.Set(relayService, string(c.service))
	out.Header.Set(relaySends, strconv.Itoa(c.sends))
	out.Header.Set(relayVersion, strconv.FormatUint(uint64(c.relayedVersion()), 10))
	return out
}

// writeRelayed forwards the answer that another entry has given.
func (c *call) writeRelayed(ans *upstream.Answer) {
	rep := &reply{Answer: ans}
	if !c.isVouched(ans) {
		c.h.Log.Warn("answer of no entry and no server", "request", c.id, "instance", c.relay, "status", ans.Status)
		ans.Close()
		c.refuse(result.AnswerCut)
		return
	}
	c.observeRelayed(ans.Header)
	if code := c.buffer(rep); code != 0 {
		ans.Close()
		c.refuse(code)
		return
	}
	if c.mayHaveRun && (impliesNotRun(rep.Status) || rejected(relayedCode(rep.Header))) {
		// True for the other entry alone.
		ans.Close()
		c.refuse(result.AnswerCut)
		return
	}
	c.writeAnswer(rep)
}

// isVouched reports whether an answer from another entry's address is that entry's or that of a
// server. Only the statuses are checked that callers take for final, or for word that the request
// didn't run: net/http answers a head that it can't read by itself, and another program may listen
// at the address of an entry that has ended.
func (c *call) isVouched(ans *upstream.Answer) bool {
	final := ans.Status >= http.StatusMultipleChoices && ans.Status < http.StatusInternalServerError
	if !final && !impliesNotRun(ans.Status) {
		return true
	}
	return relayedCode(ans.Header) != result.Served || ans.Header.Get(relayServer) != "" || ans.Header.Get(c.h.Headers.Signature) != ""
}

// observeRelayed applies an answer of another entry whose server is leaving: this entry
// passes that answer on as well.
func (c *call) observeRelayed(header http.Header) {
	name := header.Get(relayServer)
	header.Del(relayServer)
	if name == "" || c.h.ServerLeaving == nil {
		return
	}
	if leaving, err := c.h.ServerLeaving(header); err == nil && leaving {
		c.h.Dispatcher.Roster.ObserveRelayedLeaving(id.Server(name), c.id)
	}
}

// cantHelp reports whether an entry has refused a request for what concerns that entry
// alone: it reaches no server either, has used up its shares of the servers' limits, has an
// older or an unconfirmed configuration, or is shutting down.
func cantHelp(ans *upstream.Answer) bool {
	switch relayedCode(ans.Header) {
	case result.NoServer, result.ServersLimited, result.ConnectFailed, result.NotReady, result.EntryLeaving, result.ConfigurationUnconfirmed:
		return ans.Status == http.StatusServiceUnavailable
	default:
		return false
	}
}

// relayedCode returns the result code of an answer that another entry has given.
func relayedCode(h http.Header) result.Code {
	if n, err := strconv.Atoi(h.Get(result.HeaderCode)); err == nil {
		return result.Code(n)
	}
	return result.Served
}
