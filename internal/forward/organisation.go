package forward

import (
	"log/slog"
	"net/http"
	"net/url"
	"strings"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const authorization = "Authorization"

// caller is what a request's key says of its caller.
type caller struct {
	// config is the configuration that the key was last looked up in.
	config *Config
	// organisation is the organisation that holds the key, nil if there is none.
	organisation *organisation.Organisation
	// problem and key describe a key that was rejected.
	problem organisation.KeyProblem
	key     organisation.Fingerprint
}

// admit finds the organisation of the request in the configuration at its arrival. It
// returns 0, or the code to refuse the request with.
func (c *call) admit() result.Code { return c.lookUpKey(c.config) }

// lacksRegion reports whether the service has no server in the regions that the request
// allows. Other entries know the same servers, and the body need not be received.
func (c *call) lacksRegion() bool {
	if c.config.Organisations == nil {
		return false
	}
	c.service = c.pickService()
	req := c.dispatchRequest()
	return req.Restricted() && !c.h.Dispatcher.HasRegion(req)
}

// admitAgain looks the key up again if another configuration is in force than at the last
// look-up: the key may have been removed while the request waited. It returns 0, or the code
// to refuse the request with if nothing was sent.
func (c *call) admitAgain() result.Code {
	if c.unconfirmed() {
		return result.ConfigurationUnconfirmed
	}
	config := c.h.Config()
	if config == nil || config == c.caller.config {
		return 0
	}
	return c.lookUpKey(config)
}

func (c *call) lookUpKey(config *Config) result.Code {
	c.caller = caller{config: config}
	if config.Organisations == nil {
		return 0
	}
	public := c.route.Public
	if config != c.config {
		if r := config.Routes.Match(c.r.Host, c.r.URL.EscapedPath()); r != nil {
			public = r.Public
		}
	}
	key, problem := organisation.BearerKey(c.r.Header[authorization])
	if problem == "" {
		if o, ok := config.Organisations.Lookup(key); ok {
			c.caller.organisation = o
		} else {
			problem = organisation.KeyUnknown
		}
	}
	switch {
	case problem != "" && !public:
		c.caller.problem, c.caller.key = problem, organisation.FingerprintOf(key)
		return result.KeyUnknown
	case !c.caller.organisation.Shares(c.route.Regions):
		return result.RegionNotAllowed
	default:
		return 0
	}
}

// dispatchRequest returns what the choice of a server depends on that the caller and the
// route determine.
func (c *call) dispatchRequest() *dispatch.Request {
	req := &dispatch.Request{Service: c.service, Route: c.route, Organisation: c.caller.organisation}
	if c.origin != nil {
		req.Regions = c.origin.regions
	}
	return req
}

// allows reports whether the request may run in a region.
func (c *call) allows(region id.Region) bool { return c.dispatchRequest().Allows(region) }

// organised reports whether the request may carry a key that servers must not get.
func (c *call) organised() bool {
	return c.config.Organisations != nil || c.caller.config.Organisations != nil || c.origin != nil && c.origin.organised
}

// setIdentity removes from the header of a request to a server what only entries may read or
// set, and adds the name of the organisation. The caller's Connection header has no effect on
// these: they are set after the headers that it names were removed.
func (c *call) setIdentity(header http.Header) {
	if !c.organised() {
		return
	}
	values := c.r.Header[authorization]
	if !c.route.Public || c.config.Organisations.HidesKeys(values) || c.caller.config.Organisations.HidesKeys(values) {
		delete(header, authorization)
	}
	c.removeOrganisation(header)
	if o := c.caller.organisation; o != nil && c.h.Headers.Organisation != "" {
		header.Set(c.h.Headers.Organisation, string(o.Name))
	}
}

// removeOrganisation removes the caller's values of the header that names the organisation,
// also those with underscores in place of hyphens, which some servers can't tell apart.
func (c *call) removeOrganisation(header http.Header) {
	want := c.h.Headers.Organisation
	for name := range header {
		if len(name) == len(want) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), want) {
			delete(header, name)
		}
	}
}

// setRelayedIdentity adds to the header of a request to another entry what that entry needs
// to look the key up itself, and the regions that this entry allows.
func (c *call) setRelayedIdentity(header http.Header) {
	for _, name := range []string{relayOrganised, relayRegions} {
		header.Del(name)
	}
	if !c.organised() {
		return
	}
	c.removeOrganisation(header)
	header.Set(relayOrganised, "1")
	if c.caller.organisation != nil {
		header[authorization] = c.r.Header[authorization]
	}
	if regions := c.dispatchRequest().AllowedRegions(); len(regions) > 0 {
		header.Set(relayRegions, encodeRegions(regions))
	}
}

func encodeRegions(regions []id.Region) string {
	names := make([]string, len(regions))
	for i, r := range regions {
		names[i] = url.QueryEscape(string(r))
	}
	return strings.Join(names, ",")
}

func decodeRegions(text string) ([]id.Region, error) {
	if text == "" {
		return nil, nil
	}
	names := strings.Split(text, ",")
	regions := make([]id.Region, len(names))
	for i, name := range names {
		plain, err := url.QueryUnescape(name)
		if err != nil {
			return nil, err
		}
		regions[i] = id.Region(plain)
	}
	return regions, nil
}

// refuseUnsent refuses a request that must not be sent any more. If it was sent before, it
// ends with the code of that send, as the server may have run it.
func (c *call) refuseUnsent(code, failed result.Code) {
	if c.mayHaveRun || c.sends > 0 && failed != 0 {
		code = failed
		if failed == 0 || failed.Ran() == result.No && c.mayHaveRun {
			code = result.AnswerCut
		}
	}
	c.refuse(code)
}

// relayedVersion returns the version of the configuration that another entry needs at least:
// an older one may hold a key that has been removed.
func (c *call) relayedVersion() id.Version {
	if c.caller.config.Organisations != nil {
		return c.caller.config.Version
	}
	return c.config.Version
}

// rejected reports whether a code is that of a request whose caller may not send it.
func rejected(code result.Code) bool {
	return code == result.KeyUnknown || code == result.RegionNotAllowed
}

// logAttrs adds the organisation, or the key that was rejected, to a log line.
func (c *caller) logAttrs(attrs []slog.Attr) []slog.Attr {
	if c.organisation != nil {
		attrs = append(attrs, slog.String("organisation", string(c.organisation.Name)))
	}
	if c.problem != "" {
		attrs = append(attrs, slog.String("keyProblem", string(c.problem)))
	}
	if c.key != "" {
		attrs = append(attrs, slog.String("key", string(c.key)))
	}
	return attrs
}
