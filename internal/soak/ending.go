package soak

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// framing is how the end of a response is marked.
type framing string

const (
	byChunks     framing = "chunks"
	byLength     framing = "length"
	byConnection framing = "connection"
)

// endKind is how a server ends a response.
type endKind string

const (
	endWhole endKind = "whole"
	// endClosed and endReset end the connection, and endCrash and endCrashReset those of all responses of the server.
	endClosed     endKind = "closed"
	endReset      endKind = "reset"
	endCrash      endKind = "crash"
	endCrashReset endKind = "crash that resets"
	// endStopped is the orderly end of a stream at the deadline that the server was handed.
	endStopped endKind = "stop at the deadline"
	// endDrained is the end of a server that drained, beside a response.
	endDrained endKind = "end after a drain"
)

// garbles are faults of heads of responses. The value is the name in reports.
const (
	garbledStatus  = "status 000"
	garbledBlank   = "blank in a field name"
	garbledControl = "control byte in a field name"
	garbledColon   = "blank before a colon"
	garbledVersion = "HTTP/1.0 with chunks"
	garbledLengths = "two lengths"
)

// ending is the way in which a server responds to a request.
type ending struct {
	framing framing
	status  int
	// garbled is the fault of the head, or empty.
	garbled string
	// early is set if the response comes before the server has read the body of the request.
	early bool
	// pieces is how many pieces are sent, and torn is set if a part of the next one follows.
	pieces int
	torn   bool
	end    endKind
	pause  time.Duration
	// deadline is until when the server works on the request, and lateEnd how it ends the response then.
	deadline time.Time
	lateEnd  endKind
}

// drawEnding draws a response of some pieces to a stream or another request.
func drawEnding(random *rand.Rand, pieces int, stream, upload, mayCrash bool) ending {
	pick := func(n int) int { return random.IntN(n) }
	e := ending{
		framing: []framing{byChunks, byLength, byConnection}[pick(3)], status: http.StatusOK, pieces: pieces, end: endWhole,
		early: upload && pick(2) == 0, pause: drawMs(random, 0, []int{shortMs, shortMs, longMs}[pick(3)]),
	}
	switch choice := pick(20); { //nolint:mnd // Shares of the ways.
	case choice < 8: //nolint:mnd // Whole.
	case choice < 9: //nolint:mnd // Another status.
		e.framing, e.pieces = byLength, 0
		e.status = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusNotFound}[pick(3)]
	case choice < 11: //nolint:mnd // A garbled head.
		e.garbled = []string{
			garbledStatus, garbledBlank, garbledControl, garbledColon, garbledVersion, garbledLengths,
		}[pick(6)]
		e.framing = byLength
		if e.garbled == garbledColon || e.garbled == garbledVersion {
			e.framing = byChunks
		}
	default:
		e.pieces = pick(pieces + 1)
		e.torn = e.pieces < pieces && pick(2) == 0
		e.end = []endKind{endClosed, endReset, endReset, endCrash, endCrash, endCrashReset}[pick(6)]
		if !mayCrash && (e.end == endCrash || e.end == endCrashReset) {
			e.end = endReset
		}
		if e.end == endClosed && e.framing == byConnection && (!stream || !e.torn) {
			// A server that lives and closes such a connection in order says that this is all.
			e.end = endReset
		}
	}
	return e
}

// String names the way in reports.
func (e ending) String() string {
	name := string(e.framing) + ", " + cmp.Or(e.garbled, string(e.end))
	if e.status != http.StatusOK {
		name = "status " + strconv.Itoa(e.status)
	}
	if e.torn {
		name += " within a piece"
	}
	if e.early {
		name += ", before the request was read"
	}
	return name
}

// content returns the body that a server sends, in pieces, for a request that is resumed after a piece.
func content(id, kind string, after int) []string {
	list := []string{}
	if isStream(kind) {
		for i := after + 1; i <= endPieces; i++ {
			list = append(list, standin.Event(id, "v1", i))
		}
		return list
	}
	size := 1 + int(hashOf(id)%receiveBytes)
	for i := range endPieces {
		list = append(list, strings.Repeat(fmt.Sprintf("%s-%d ", id, i), 1+size/endPieces/len(id)))
	}
	return list
}

func isStream(kind string) bool { return kind == standin.Stream || kind == standin.Resumable }

func hashOf(text string) uint64 {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, text)
	return sum.Sum64()
}

// head returns the head of a response.
func (e *ending) head(id, seal, kind string, pieces []string) string {
	version, status := "HTTP/1.1", strconv.Itoa(e.status)
	b := &strings.Builder{}
	field := func(name, value string) { fmt.Fprintf(b, "%s: %s\r\n", name, value) }
	if isStream(kind) {
		field("Content-Type", "text/event-stream")
	}
	length := len(strings.Join(pieces, ""))
	switch {
	case e.status != http.StatusOK:
		length = 0
		if e.status == http.StatusServiceUnavailable {
			field(standin.HeaderNotRun, "1")
		}
	case e.garbled == garbledStatus:
		status = "000"
	case e.garbled == garbledBlank:
		field("X Server", "1")
	case e.garbled == garbledControl:
		field("X\x01Server", "1")
	case e.garbled == garbledColon:
		b.WriteString("Transfer-Encoding : chunked\r\n")
	case e.garbled == garbledVersion:
		version = "HTTP/1.0"
	case e.garbled == garbledLengths:
		field("Content-Length", strconv.Itoa(length/2)) //nolint:mnd // Half of it.
	}
	switch {
	case e.framing == byLength:
		field("Content-Length", strconv.Itoa(length))
	case e.framing == byChunks && e.garbled != garbledColon:
		field("Transfer-Encoding", "chunked")
	}
	format := "%s %s S\r\n" + standin.HeaderRequestID + ": %s\r\n" + standin.HeaderSeal + ": %s\r\n%s\r\n"
	return fmt.Sprintf(format, version, status, id, seal, b)
}

// write writes the head and the pieces of a response.
func (e *ending) write(conn *net.TCPConn, head string, pieces []string) bool {
	_, err := io.WriteString(conn, head)
	for i, piece := range pieces[:min(len(pieces), e.pieces+1)] {
		if i == e.pieces {
			if !e.torn {
				break
			}
			piece = piece[:len(piece)/2]
		}
		if time.Sleep(min(e.pause, time.Until(e.deadline))); !time.Now().Before(e.deadline) {
			e.pieces, e.torn, e.end = i, false, e.lateEnd
			return err == nil
		}
		if e.framing == byChunks {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if err == nil {
			_, err = io.WriteString(conn, piece)
		}
		if err != nil {
			e.pieces, e.torn = i, false
			return false
		}
	}
	return err == nil
}

// writeEnd writes what marks the end of a response.
func (e *ending) writeEnd(conn *net.TCPConn) bool {
	if e.framing != byChunks {
		return true
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
