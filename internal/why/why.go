// Package why reads the log lines of any number of boxes and picks those that
// explain what became of one request.
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

// Line is one log line with the fields that tell where it belongs.
type Line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Box      string    `json:"box"`
	Request  string    `json:"request"`
	Upstream string    `json:"upstream"`
	// RestMs is for how long what the line tells of holds, if it does for a span.
	RestMs int64 `json:"rest_ms"`
	// Fields are all others, as they stand in the line.
	Fields map[string]json.RawMessage `json:"-"`
	raw    []byte
}

// maxLineBytes bounds one log line; longer ones are no lines of ours.
const maxLineBytes = 1 << 20

// Read adds the lines of a log. What stands before a line's brace, as from a
// collector of logs, and lines that are no JSON are passed over.
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

// lastsUntil is when what the line tells of is over.
func (l Line) lastsUntil() time.Time { return l.Time.Add(time.Duration(l.RestMs) * time.Millisecond) }

// Story returns the lines of a request in the order of their times, and those by
// which its boxes changed what they believe in the span before its end, or earlier if that
// lasts for a span which had not ended, as the rest of an upstream.
func Story(lines []Line, request string, before time.Duration) []Line {
	own := []Line{}
	boxes := map[string]bool{}
	for _, line := range lines {
		if line.Request == request {
			own = append(own, line)
			boxes[line.Box] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime(own)
	first, last := own[0].Time.Add(-before), own[len(own)-1].Time
	story := own
	for _, line := range lines {
		if line.Request == "" && boxes[line.Box] && !line.lastsUntil().Before(first) && !line.Time.After(last) {
			story = append(story, line)
		}
	}
	byTime(story)
	return story
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Text returns the line for a person: time, box, message and fields.
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
