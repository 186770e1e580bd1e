// Package datagram carries small messages between the boxes of a fleet over one
// UDP socket: several channels, each message authenticated by the fleet's key
// and counted.
package datagram

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"sync"

	"go.uber.org/zap"
)

// Errors of a datagram.
var (
	ErrUnauthentic = errors.New("datagram not authentic")
	ErrMalformed   = errors.New("malformed datagram")
)

// MaxBytes keeps a datagram within one frame of any network.
const MaxBytes = 1200

// Counter counts bytes or messages.
type Counter interface{ Add(delta int64) }

// Channel is one kind of messages on the socket.
type Channel struct {
	// Name is the first byte of its datagrams.
	Name byte
	// CodeBytes is how much of the authentication code its datagrams carry.
	CodeBytes int
	// Sent and Received count the bytes on the socket.
	Sent, Received Counter
	// Handle takes a message; it must not keep the body.
	Handle func(from string, body []byte)
}

// Socket is a UDP socket with channels. It is safe for concurrent use.
type Socket struct {
	conn     net.PacketConn
	keys     func() []string
	rejected Counter
	logger   *zap.Logger

	mu       sync.RWMutex
	channels map[byte]Channel
	// addresses are parsed once; there are as many as boxes.
	addresses map[string]net.Addr
}

// maxAddresses bounds the parsed addresses that are kept.
const maxAddresses = 10_000

// New returns a socket without channels. The first key seals, all open.
func New(conn net.PacketConn, keys func() []string, rejected Counter, logger *zap.Logger) *Socket {
	return &Socket{
		conn: conn, keys: keys, rejected: rejected, logger: logger,
		channels: map[byte]Channel{}, addresses: map[string]net.Addr{},
	}
}

// Open adds a channel. Call it before Run.
func (s *Socket) Open(channel Channel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.channels[channel.Name] = channel
}

// Address returns the socket's own address.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send seals a message and sends it. A message that is lost or too long is lost
// without a word, as on any network.
func (s *Socket) Send(name byte, address string, body []byte) {
	channel, target := s.route(name, address)
	if target == nil {
		return
	}
	data := seal(s.keys()[0], channel, body)
	if len(data) > MaxBytes {
		return
	}
	if _, err := s.conn.WriteTo(data, target); err == nil {
		channel.Sent.Add(int64(len(data)))
	}
}

func (s *Socket) route(name byte, address string) (Channel, net.Addr) {
	s.mu.RLock()
	channel, target := s.channels[name], s.addresses[address]
	s.mu.RUnlock()
	if target != nil {
		return channel, target
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return channel, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.addresses) >= maxAddresses {
		clear(s.addresses)
	}
	s.addresses[address] = resolved
	return channel, resolved
}

// Run hands messages to their channels until the context ends; then it closes
// the socket.
func (s *Socket) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxBytes+1)
	for {
		length, from, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		s.receive(from.String(), buffer[:length])
	}
}

func (s *Socket) receive(from string, data []byte) {
	if len(data) == 0 {
		return
	}
	s.mu.RLock()
	channel, known := s.channels[data[0]]
	s.mu.RUnlock()
	if !known {
		s.reject(from, ErrMalformed)
		return
	}
	channel.Received.Add(int64(len(data)))
	body, err := open(s.keys(), channel, data)
	if err != nil {
		s.reject(from, err)
		return
	}
	channel.Handle(from, body)
}

func (s *Socket) reject(from string, err error) {
	s.rejected.Add(1)
	s.logger.Debug("datagram dropped", zap.String("from", from), zap.Error(err))
}

// seal puts the channel's name and the authentication code in front of a body.
func seal(key string, channel Channel, body []byte) []byte {
	data := make([]byte, 0, 1+channel.CodeBytes+len(body))
	data = append(data, channel.Name)
	data = append(data, code(key, channel, body)...)
	return append(data, body...)
}

func code(key string, channel Channel, body []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	// Writes to a hash never fail.
	_, _ = mac.Write([]byte{channel.Name})
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:channel.CodeBytes]
}

func open(keys []string, channel Channel, data []byte) ([]byte, error) {
	start := 1 + channel.CodeBytes
	if len(data) <= start || len(data) > MaxBytes {
		return nil, ErrMalformed
	}
	body := data[start:]
	for _, key := range keys {
		if hmac.Equal(data[1:start], code(key, channel, body)) {
			return body, nil
		}
	}
	return nil, ErrUnauthentic
}
