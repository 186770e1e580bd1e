// Package why reads the log lines of any number of boxes and selects those that
// explain the outcome of one request.
package why

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one log line, with the fields by which lines are selected and sorted.
type Line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Box      string    `json:"box"`
	Request  string    `json:"request"`
	Upstream string    `json:"upstream"`
	Address  string    `json:"address"`
	// Part is the key of a prompt's part that is held back, and Parts are those of the requests on a crashed upstream.
	Part  string   `json:"part"`
	Parts []string `json:"parts"`
	// Fingerprint is that of a request, and Fingerprints are those of the requests on a crashed upstream.
	Fingerprint  string   `json:"fingerprint"`
	Fingerprints []string `json:"fingerprints"`
	// BackoffMs is how long the logged backoff stays in effect, or 0 if the line logs none.
	BackoffMs int64 `json:"rest_ms"`
	// Fields holds the remaining fields as raw JSON. Upstream, Address and BackoffMs are in it, too.
	Fields map[string]json.RawMessage `json:"-"`
	raw    []byte
}

// maxLineBytes is the maximum length of a log line. Boxes don't write longer lines.
const maxLineBytes = 1 << 20

// Read appends the lines of a log. It ignores text before a line's first brace, such as a
// prefix of a log collector, and lines that are not JSON.
func Read(lines []Line, r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		if line, ok := parse(bytes.Clone(scanner.Bytes()[at:])); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func parse(data []byte) (Line, bool) {
	line := Line{raw: data}
	if json.Unmarshal(data, &line) != nil || json.Unmarshal(data, &line.Fields) != nil || line.Message == "" {
		return Line{}, false
	}
	for _, name := range []string{"time", "msg", "box", "request", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// validUntil returns the time until which the logged state is in effect.
func (l Line) validUntil() time.Time {
	return l.Time.Add(time.Duration(l.BackoffMs) * time.Millisecond)
}

// concerns reports whether the line tells of a crash or a quarantine by one of some parts or fingerprints.
func (l Line) concerns(held map[string]bool) bool {
	isHeld := func(key string) bool { return held[key] }
	return isHeld(l.Part) || isHeld(l.Fingerprint) || slices.ContainsFunc(l.Parts, isHeld) ||
		slices.ContainsFunc(l.Fingerprints, isHeld)
}

// RequestLines returns the lines of a request and the state changes that its boxes logged from the
// span before its first line up to its last line, ordered by time. Earlier state changes are
// included if they were still in effect, such as the backoff of an upstream, and, of all boxes, the
// crashes and quarantines of the request's fingerprint or of the part for which it was held back. Later
// ones are included for the same span if they tell what became of one of the request's upstreams, or
// which upstream has its address.
func RequestLines(lines []Line, request string, before time.Duration) []Line {
	own := []Line{}
	boxes, held := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Request == request {
			own = append(own, line)
			boxes[line.Box] = true
			held[line.Part], held[line.Fingerprint] = true, true
		}
	}
	delete(held, "")
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	first, last := own[0].Time.Add(-before), own[len(own)-1].Time
	isNews := newsOf(own, lines)
	bears := func(line Line) bool {
		if line.Time.After(last) {
			return boxes[line.Box] && !line.Time.After(last.Add(before)) && isNews(line)
		}
		return boxes[line.Box] && !line.validUntil().Before(first) || line.concerns(held)
	}
	story := own
	for _, line := range lines {
		if line.Request == "" && bears(line) {
			story = append(story, line)
		}
	}
	sortByTime(story)
	return story
}

// newsOf returns a function that reports whether a line names an upstream of a request, or the address of one.
func newsOf(own, lines []Line) func(Line) bool {
	upstreams, addresses := map[string]bool{}, map[string]bool{}
	for _, line := range own {
		upstreams[line.Upstream] = true
	}
	for _, line := range lines {
		if upstreams[line.upstreamID()] {
			addresses[line.Address] = true
		}
	}
	delete(upstreams, "")
	delete(addresses, "")
	return func(line Line) bool { return upstreams[line.upstreamID()] || addresses[line.Address] }
}

// upstreamID returns the ID of the upstream without its incarnation.
func (l Line) upstreamID() string {
	id, _, _ := strings.Cut(l.Upstream, "@")
	return id
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Text formats the line for reading: time, box, message and fields.
func (l Line) Text() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Box, l.Message)
	for _, name := range names {
		fmt.Fprintf(b, " %s=%s", name, l.Fields[name])
	}
	return b.String()
}

// JSON returns the line as it was written.
func (l Line) JSON() string { return string(l.raw) }
