package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host = "desk.example"
	// roundPause is the pause between two rounds of requests.
	roundPause = 20 * time.Millisecond
	answerGap  = 500 * time.Millisecond
)

// answer is what a client got.
type answer struct {
	id       string
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes, complete %t", a.status, a.header.Get("X-Response-Seal"),
		len(a.body), a.complete)
}

// call is a POST of a client on a connection of its own.
type call struct {
	id, path, key, label string
	deadline             time.Duration
}

// send sends a call to a box and reads the answer as a client of HTTP/1.1.
func send(ctx context.Context, b *box, c call) answer {
	a := answer{id: c.id}
	conn, err := dial(ctx, b.front)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + answerGap))
	const body = "crash report"
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Authorization: Token %s\r\nContent-Length: %d\r\n",
		c.path, host, c.id, c.deadline.Milliseconds(), c.key, len(body))
	if c.label != "" {
		fmt.Fprintf(&head, "X-Box: %s\r\n", c.label)
	}
	if _, a.err = io.WriteString(conn, head.String()+"\r\n"+body); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.complete, a.err = resp.StatusCode, resp.Header, string(data), err == nil, err
	return a
}
