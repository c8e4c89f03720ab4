package gateway

import (
	"bytes"
	"strconv"
)

// An event of a stream ends with an empty line. Lines end with LF, CRLF or CR; a stream
// may mix them.
const (
	lineFeed       = '\n'
	carriageReturn = '\r'
)

// emptyLine is the end of an event in a stream whose lines end with LF.
var emptyLine = []byte("\n\n")

// endOfLastEvent returns the length of the part of b that consists of whole events.
func endOfLastEvent(b []byte) int {
	if bytes.IndexByte(b, carriageReturn) < 0 {
		if i := bytes.LastIndex(b, emptyLine); i >= 0 {
			return i + len(emptyLine)
		}
		return 0
	}
	for end := len(b); end > 0; end-- {
		if endsWithEmptyLine(b[:end]) {
			return end
		}
	}
	return 0
}

// endsWithEmptyLine reports whether b ends with an empty line. The CR of a CRLF is not
// the end of a line as long as the LF is missing, unless it follows another CR.
func endsWithEmptyLine(b []byte) bool {
	if bytes.HasSuffix(b, []byte{carriageReturn, carriageReturn}) {
		return true
	}
	line, ended := bytes.CutSuffix(b, []byte{lineFeed})
	if !ended {
		return false
	}
	line = bytes.TrimSuffix(line, []byte{carriageReturn})
	return len(line) > 0 && isLineEnd(line[len(line)-1])
}

// isPartOfEvent reports whether b, which follows whole events, has more than line ends.
func isPartOfEvent(b []byte) bool { return len(bytes.Trim(b, "\r\n")) > 0 }

func isLineEnd(c byte) bool { return c == lineFeed || c == carriageReturn }

// countEvents returns the number of events in b, which consists of whole events.
func countEvents(b []byte) int {
	if bytes.IndexByte(b, carriageReturn) < 0 {
		return bytes.Count(b, emptyLine)
	}
	n := 0
	for i := range b {
		if endsWithEmptyLine(b[:i+1]) {
			n++
		}
	}
	return n
}

// followsEvent reports whether the first of the events can come after the event with the
// given ID: it has an ID, which is higher if both are numbers.
func followsEvent(events []byte, last string) bool {
	first := events
	for i := range events {
		if endsWithEmptyLine(events[:i+1]) {
			first = events[:i+1]
			break
		}
	}
	id, ok := lastEventID(first)
	if !ok || id == last {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || n > before
}

// idField begins the line of an event that holds its ID.
var idField = []byte("id:")

// lastEventID returns the ID of the last event that has one. Text that looks like an ID
// inside another line is none.
func lastEventID(events []byte) (id string, ok bool) {
	for rest := events; ; {
		i := bytes.LastIndex(rest, idField)
		if i < 0 {
			return "", false
		}
		if i == 0 || isLineEnd(events[i-1]) {
			value := events[i+len(idField):]
			if end := bytes.IndexAny(value, "\r\n"); end >= 0 {
				value = value[:end]
			}
			return string(bytes.TrimSpace(value)), true
		}
		rest = rest[:i]
	}
}
