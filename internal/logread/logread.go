// Package logread finds in an entry's log what became of a request, and what the
// entry had come to believe shortly before.
//
// Lines are those of log/slog's text handler, one event each, as key=value pairs. Of
// the text before the first pair, as collectors of logs put there, the last word
// names the entry, so that a log may hold the lines of several.
//
// # Usage
//
//	s, err := logread.Find(file, "9c41d07be2a35f68")
//	s.WriteText(os.Stdout)
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

	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	// before is how long before a request's first line beliefs are looked for: an
	// entry hears of a change within some seconds.
	before = 10 * time.Second
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
)

type (
	// Line is one event of a log.
	Line struct {
		// At is when it was written.
		At time.Time `json:"at"`
		// Message says what happened.
		Message string `json:"message"`
		// Text is the whole line, from its first pair on.
		Text string `json:"text"`
		// Source is what stands before it, empty in the log of one entry.
		Source string `json:"source,omitempty"`

		fields map[string]string
	}

	// Story is what a log says of a request.
	Story struct {
		// Request is the request's id.
		Request string `json:"request"`
		// Code is its outcome.
		Code result.Code `json:"code"`
		// Meaning says what the outcome and the choice of a server mean.
		Meaning []string `json:"meaning"`
		// Lines are the request's lines, in their order.
		Lines []Line `json:"lines"`
		// Beliefs are the lines of the time before on the servers that it was
		// meant for, and on what concerns all requests.
		Beliefs []Line `json:"beliefs"`
	}
)

// general tells whether a message concerns all requests.
func general(message string) bool {
	switch message {
	case "configuration in force", "configuration rejected", "evacuated zones changed", "store lost", "store regained",
		"watch is behind", "zone out of reach", "zone reached again", "snapshot taken in", "leaving", "started", "settings in force":
		return true
	default:
		return false
	}
}

// choice says what the reason of a choice means.
func choice(reason string) string {
	switch reason {
	case "owner":
		return "it went to the best ranked server for its object"
	case "familiar":
		return "the best ranked server had no free slot; it went to one that knew its object"
	case "spill":
		return "the best ranked server had a long queue; it went to the next with room"
	case "queue":
		return "no server had room; it queued at the best ranked one"
	case "full":
		return "the best ranked server's queue was too long, or too slow for the request's time, and no server had room"
	case "noServer":
		return "no server could get it: none is known, all are out, cold beyond their rate, or in regions that the route doesn't allow"
	default:
		return ""
	}
}

// Parse reads a line. It returns false for one that is no event.
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

// cutValue returns the value at the beginning of text, and what follows it.
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

// Find reads a log for a request. It returns an error if no line is the request's.
func Find(log io.Reader, request string) (*Story, error) {
	s := &Story{Request: request}
	var others []Line
	servers := make(map[string]bool)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := Parse(scanner.Text())
		switch {
		case !ok:
		case l.fields["request"] == request:
			s.Lines = append(s.Lines, l)
			servers[l.fields["server"]], servers[l.fields["owner"]] = true, true
		case l.fields["request"] == "":
			others = append(others, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read log")
	}
	if len(s.Lines) == 0 {
		return nil, eris.Errorf("no line of request %q", request)
	}
	delete(servers, "")
	from, to := s.Lines[0].At.Add(-before), s.Lines[len(s.Lines)-1].At
	for _, l := range others {
		if l.Source == s.Lines[0].Source && !l.At.Before(from) && !l.At.After(to) && (servers[l.fields["server"]] || general(l.Message)) {
			s.Beliefs = append(s.Beliefs, l)
		}
	}
	s.explain()
	return s, nil
}

// explain says what the request's own line means.
func (s *Story) explain() {
	i := slices.IndexFunc(s.Lines, func(l Line) bool { return l.Message == "request" })
	if i < 0 {
		s.Meaning = []string{"the request's own line is missing: it was under way when the log ended, or the line was dropped"}
		return
	}
	f := s.Lines[i].fields
	if code, err := strconv.Atoi(f["code"]); err == nil {
		s.Code = result.Code(code)
		if info, ok := s.Code.Info(); ok {
			s.Meaning = append(s.Meaning, fmt.Sprintf("code %d, %s: %s", code, info.Name, info.Meaning))
		}
	}
	if text := choice(f["choice"]); text != "" {
		s.Meaning = append(s.Meaning, text)
	}
	if f["sends"] == "0" && f["status"] != "200" {
		s.Meaning = append(s.Meaning, "it reached no server")
	}
	if f["unconnected"] != "" && f["unconnected"] != "0" {
		s.Meaning = append(s.Meaning, f["unconnected"]+" servers took no connection")
	}
	if age, err := time.ParseDuration(f["storeAge"]); err == nil && age > before {
		s.Meaning = append(s.Meaning, fmt.Sprintf("the store had not answered the entry for %v", age.Round(time.Millisecond)))
	}
}

// WriteText writes the story for people.
func (s *Story) WriteText(w io.Writer) error {
	lines := []string{"request " + s.Request}
	for _, m := range s.Meaning {
		lines = append(lines, "  "+m)
	}
	lines = append(lines, "its lines:")
	for _, l := range s.Lines {
		lines = append(lines, "  "+l.Text)
	}
	lines = append(lines, "what the entry came to believe before:")
	for _, l := range s.Beliefs {
		lines = append(lines, "  "+l.Text)
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}
