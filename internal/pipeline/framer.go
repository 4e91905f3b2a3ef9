package pipeline

import (
	"bytes"
	"strings"
)

// Parts of a request, as the position of a framer.
const (
	inHead part = iota
	inBody
	inChunkSize
	inChunkEnd
	inTrailer
	// atEnd means that the last byte of a request has been seen.
	atEnd
	// opaque means that the end of a request can't be told for certain. It is final.
	opaque
)

const (
	// maxLengthDigits keeps a content length within an int64.
	maxLengthDigits = 18
	// maxChunkDigits keeps the size of a chunk within an int64.
	maxChunkDigits = 8
	crlf           = "\r\n"
	headEnd        = crlf + crlf
)

type (
	part int

	// framer finds where requests of a connection end. It does so only for requests on
	// whose end no two parsers differ, and leaves all others, and what follows them, to
	// the parser of net/http: a length that two parsers read differently would let a
	// caller hide a request in another one.
	framer struct {
		part part
		// left is the number of bytes of a body or chunk that follow.
		left int64
		// chunked is set if the body is in chunks.
		chunked bool
		// line holds the start of a line that isn't complete.
		line []byte
	}

	// framing is what a head says of the body.
	framing struct {
		length  int64
		chunked bool
		// closes is set if the caller wants no further answer on the connection.
		closes bool
	}
)

// parseHead returns the framing of a request by its complete head. It returns false
// if the head isn't entirely regular.
func parseHead(head []byte) (framing, bool) {
	lines, found := bytes.CutSuffix(head, []byte(headEnd))
	if !found {
		return framing{}, false
	}
	first, rest, _ := bytes.Cut(lines, []byte(crlf))
	if !regularRequestLine(first) {
		return framing{}, false
	}
	var (
		f       framing
		lengths int
		host    int
	)
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte(crlf))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !isFieldValue(value) {
			return framing{}, false
		}
		value = bytes.Trim(value, " \t")
		switch {
		case isName(name, "Content-Length"):
			if lengths++; len(value) > maxLengthDigits || len(value) == 0 {
				return framing{}, false
			}
			for _, d := range value {
				if d < '0' || d > '9' {
					return framing{}, false
				}
				f.length = 10*f.length + int64(d-'0')
			}
		case isName(name, "Transfer-Encoding"):
			if lengths++; !isName(value, "chunked") {
				return framing{}, false
			}
			f.chunked = true
		case isName(name, "Connection"):
			for option := range bytes.SplitSeq(value, []byte(",")) {
				f.closes = f.closes || isName(bytes.TrimSpace(option), "close")
			}
		case isName(name, "Host"):
			host++
		}
	}
	return f, lengths <= 1 && host == 1
}

// regularRequestLine reports whether a line is a request line of HTTP/1.1 with an
// absolute path.
func regularRequestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, proto, found := bytes.Cut(rest, []byte(" "))
	if !ok || !found || !isToken(method) || string(proto) != "HTTP/1.1" || len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// hasBareLineFeed reports whether a line of b ends with a line feed alone, which some
// parsers take for the end of a line. The first byte may end the part before b.
func hasBareLineFeed(b []byte) bool {
	for i := 0; i < len(b); i++ {
		next := bytes.IndexByte(b[i:], '\n')
		if next < 0 {
			return false
		}
		if i += next; i > 0 && b[i-1] != '\r' {
			return true
		}
	}
	return false
}

func isName(name []byte, want string) bool { return strings.EqualFold(string(name), want) }

// isToken reports whether b is a token of RFC 9110.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// begin sets the framer to the start of the body that a head has announced.
func (f *framer) begin(of framing) {
	*f = framer{part: atEnd, chunked: of.chunked, line: f.line[:0]}
	switch {
	case of.chunked:
		f.part = inChunkSize
	case of.length > 0:
		f.part, f.left = inBody, of.length
	}
}

// body returns how many of the bytes belong to the current request's body. If the body
// isn't regular, the framer becomes opaque and all of the bytes count.
func (f *framer) body(b []byte) int {
	n := 0
	for n < len(b) && f.part != atEnd {
		if f.part == opaque {
			return len(b)
		}
		if f.part == inBody {
			take := min(f.left, int64(len(b)-n))
			n += int(take)
			if f.left -= take; f.left > 0 {
				continue
			}
			if f.part = atEnd; f.chunked {
				f.part = inChunkEnd
			}
			continue
		}
		n += f.readLine(b[n:])
	}
	return n
}

// readLine consumes bytes up to the end of a line of the chunked encoding.
func (f *framer) readLine(b []byte) int {
	n := len(b)
	end := bytes.IndexByte(b, '\n')
	if end >= 0 {
		n = end + 1
	}
	if len(f.line)+n > maxChunkDigits+len(crlf) {
		f.part = opaque
		return n
	}
	f.line = append(f.line, b[:n]...)
	if end < 0 {
		return n
	}
	line, ok := bytes.CutSuffix(f.line, []byte(crlf))
	size, valid := chunkSize(line)
	f.line = f.line[:0]
	switch {
	case !ok:
		f.part = opaque
	case f.part == inChunkSize && valid && size > 0:
		f.part, f.left = inBody, size
	case f.part == inChunkSize && valid:
		f.part = inTrailer
	case f.part == inChunkEnd && len(line) == 0:
		f.part = inChunkSize
	case f.part == inTrailer && len(line) == 0:
		f.part = atEnd
	default:
		f.part = opaque
	}
	return n
}

// chunkSize parses the size of a chunk.
func chunkSize(digits []byte) (int64, bool) {
	size := int64(0)
	for _, c := range digits {
		switch {
		case '0' <= c && c <= '9':
			size = 16*size + int64(c-'0')
		case 'a' <= c && c <= 'f':
			size = 16*size + int64(c-'a') + 10
		case 'A' <= c && c <= 'F':
			size = 16*size + int64(c-'A') + 10
		default:
			return 0, false
		}
	}
	return size, len(digits) > 0 && len(digits) <= maxChunkDigits
}
