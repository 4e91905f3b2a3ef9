// Package logread extracts from an entry's log the outcome of a request, and the
// state changes of the entry shortly before it.
//
// It reads the format of log/slog's text handler: one event per line, as key=value
// pairs. Log collectors may put text before the first pair; its last word is taken as
// the name of the entry, so that a log may hold the lines of several entries.
//
// # Usage
//
//	t, err := logread.Find(file, "9c41d07be2a35f68")
//	t.WriteText(os.Stdout)
package logread

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	// lookback is how long before a request's first line state changes are included:
	// changes reach an entry within some seconds.
	lookback = 10 * time.Second
	// maxLine is the longest line that can be read, in bytes.
	maxLine = 1 << 20
)

type (
	// Line is one event of a log.
	Line struct {
		// At is the time of the event.
		At time.Time `json:"at"`
		// Message is the log message.
		Message string `json:"message"`
		// Text is the line from its first pair on.
		Text string `json:"text"`
		// Source is the name of the entry from the text before the first pair, empty
		// if there is none.
		Source string `json:"source,omitempty"`

		fields map[string]string
	}

	// Trace is what a log contains about a request.
	Trace struct {
		// Request is the request's id.
		Request string `json:"request"`
		// Code is its result code.
		Code result.Code `json:"code"`
		// Meaning explains the outcome and the choice of a server.
		Meaning []string `json:"meaning"`
		// Lines are the request's lines, in log order.
		Lines []Line `json:"lines"`
		// StateChanges are the events shortly before the request and during it,
		// about its servers and about state that concerns all requests.
		StateChanges []Line `json:"beliefs"`
	}
)

// concernsAll reports whether a message is about state that concerns all requests.
func concernsAll(message string) bool {
	switch message {
	case "configuration in force", "configuration rejected", "evacuated zones changed", "store lost", "store regained",
		"watch is behind", "zone out of reach", "zone reached again", "snapshot taken in", "leaving", "started", "settings in force",
		"store restored from an older copy", "backend servers after a restore of the store", "evacuated zones missing since a restore of the store":
		return true
	default:
		return false
	}
}

// explainChoice explains the reason of a dispatch choice; it returns "" if the
// reason is unknown.
func explainChoice(reason string) string {
	switch reason {
	case "owner":
		return "sent to the owner of its object, the highest ranked server"
	case "familiar":
		return "the owner had no free slot; sent to a server that had recently served the object"
	case "spill":
		return "the owner had a long queue; sent to the next ranked server with free capacity"
	case "queue":
		return "no server had free capacity; queued at the owner"
	case "full":
		return "the owner's queue was too long, or too slow for the request's deadline, and no server had free capacity"
	case "limited":
		return "this entry had used up its share of the limits that the servers have named"
	case "noServer":
		return "no server was eligible: none is known, all are unhealthy, over their slow start rate, or in regions that the route doesn't allow"
	default:
		return ""
	}
}

// Parse parses a line. It returns false if the line is not an event.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Text: text[start:], fields: make(map[string]string)}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		l.Source = words[len(words)-1]
	}
	for rest := l.Text; rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value, next := cutValue(after)
		l.fields[strings.TrimSpace(key)] = value
		rest = next
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil {
		return Line{}, false
	}
	l.At, l.Message = at, l.fields["msg"]
	return l, true
}

// cutValue returns the value at the beginning of text, unquoted, and the rest.
func cutValue(text string) (value, rest string) {
	if strings.HasPrefix(text, `"`) {
		if quoted, err := strconv.QuotedPrefix(text); err == nil {
			value, _ = strconv.Unquote(quoted)
			return value, strings.TrimPrefix(text[len(quoted):], " ")
		}
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// Field returns the value of a key, "" if the line doesn't hold it.
func (l *Line) Field(key string) string { return l.fields[key] }

// Each calls use for each event of a log. It returns an error if the log can't be read.
func Each(log io.Reader, use func(*Line)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := Parse(scanner.Text()); ok {
			use(&l)
		}
	}
	return eris.Wrap(scanner.Err(), "read log")
}

// Find extracts the lines about a request from a log. It returns an error if there
// are none, or if the log can't be read.
func Find(log io.Reader, request string) (*Trace, error) {
	t := &Trace{Request: request}
	var others []Line
	servers := make(map[string]bool)
	err := Each(log, func(l *Line) {
		switch l.fields["request"] {
		case request:
			t.Lines = append(t.Lines, *l)
			servers[l.fields["server"]], servers[l.fields["owner"]] = true, true
		case "":
			others = append(others, *l)
		}
	})
	if err != nil {
		return nil, err
	}
	if len(t.Lines) == 0 {
		return nil, eris.Errorf("no line for request %q", request)
	}
	delete(servers, "")
	from, to := t.Lines[0].At.Add(-lookback), t.Lines[len(t.Lines)-1].At
	for _, l := range others {
		if l.Source == t.Lines[0].Source && !l.At.Before(from) && !l.At.After(to) && (servers[l.fields["server"]] || concernsAll(l.Message)) {
			t.StateChanges = append(t.StateChanges, l)
		}
	}
	t.explain()
	return t, nil
}

// explain derives Code and Meaning from the final line of the request.
func (t *Trace) explain() {
	i := slices.IndexFunc(t.Lines, func(l Line) bool { return l.Message == "request" })
	if i < 0 {
		t.Meaning = []string{"the final line of the request is missing: the request was in progress when the log ended, or the line was dropped"}
		return
	}
	f := t.Lines[i].fields
	if code, err := strconv.Atoi(f["code"]); err == nil {
		t.Code = result.Code(code)
		if info, ok := t.Code.Info(); ok {
			t.Meaning = append(t.Meaning, fmt.Sprintf("code %d, %s: %s", code, info.Name, info.Meaning))
		}
	}
	t.Meaning = append(t.Meaning, explainCaller(f)...)
	if text := explainChoice(f["choice"]); text != "" {
		t.Meaning = append(t.Meaning, text)
	}
	if f["limited"] != "" {
		t.Meaning = append(t.Meaning, "passed over, as this entry had used up its share of the server's limit: "+f["limited"])
	}
	if f["sends"] == "0" && f["status"] != "200" {
		t.Meaning = append(t.Meaning, "it reached no server")
	}
	if f["unconnected"] != "" && f["unconnected"] != "0" {
		t.Meaning = append(t.Meaning, "servers that accepted no connection: "+f["unconnected"])
	}
	if age, err := time.ParseDuration(f["storeAge"]); err == nil && age > lookback {
		t.Meaning = append(t.Meaning, fmt.Sprintf("the last answer that the entry had received from the store was %v old", age.Round(time.Millisecond)))
	}
}

// explainCaller explains what the key of a request says of its caller.
func explainCaller(f map[string]string) []string {
	var out []string
	if name := f["organisation"]; name != "" {
		out = append(out, "its key belongs to the organisation "+name)
	}
	switch f["keyProblem"] {
	case "":
	case string(organisation.KeyMissing):
		out = append(out, "it had no key")
	case string(organisation.KeyOtherScheme):
		out = append(out, "its Authorization was not of the form Bearer KEY")
	case string(organisation.KeyRepeated):
		out = append(out, "it had several Authorization headers")
	default:
		out = append(out, fmt.Sprintf("its key with the fingerprint %s belongs to no organisation, or to several", f["key"]))
	}
	return out
}

// WriteText writes the trace as text for operators.
func (t *Trace) WriteText(w io.Writer) error {
	lines := []string{"request " + t.Request}
	for _, m := range t.Meaning {
		lines = append(lines, "  "+m)
	}
	lines = append(lines, "lines of the request:")
	for _, l := range t.Lines {
		lines = append(lines, "  "+l.Text)
	}
	lines = append(lines, "state changes of the entry before it:")
	for _, l := range t.StateChanges {
		lines = append(lines, "  "+l.Text)
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}
