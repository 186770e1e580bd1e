// Package datagram sends and receives small messages between the boxes of a fleet over one UDP
// socket. The socket carries several channels. Each message is authenticated with the fleet's key,
// and its bytes are counted.
package datagram

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
)

// Errors of received datagrams.
var (
	ErrUnauthentic = errors.New("datagram not authentic")
	ErrMalformed   = errors.New("malformed datagram")
)

// MaxBytes is the maximum size of a datagram. It fits into one frame on any network.
const MaxBytes = 1200

// Counter counts bytes or messages.
type Counter interface{ Add(delta int64) }

// Channel is one type of message on the socket.
type Channel struct {
	// Prefix is the first byte of the channel's datagrams.
	Prefix byte
	// MACBytes is the length to which the message authentication code is truncated.
	MACBytes int
	// Sent and Received count the bytes of datagrams.
	Sent, Received Counter
	// Handle processes a message. It must not retain the body.
	Handle func(from string, body []byte)
}

// Socket multiplexes channels over a UDP socket. It is safe for concurrent use.
type Socket struct {
	conn     net.PacketConn
	keys     func() []string
	rejected Counter
	logger   *zap.Logger

	mu       sync.RWMutex
	channels map[byte]Channel
	// addresses caches parsed addresses, so that each is parsed once. There is about one per box.
	addresses map[string]net.Addr
}

// maxAddresses limits the cache of parsed addresses.
const maxAddresses = 10_000

// New returns a socket without channels. The first key authenticates sent messages, and any of the
// keys is accepted for received ones.
func New(conn net.PacketConn, keys func() []string, rejected Counter, logger *zap.Logger) *Socket {
	return &Socket{
		conn: conn, keys: keys, rejected: rejected, logger: logger,
		channels: map[byte]Channel{}, addresses: map[string]net.Addr{},
	}
}

// AddChannel adds a channel. It must be called before Run.
func (s *Socket) AddChannel(channel Channel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.channels[channel.Prefix] = channel
}

// Address returns the local address of the socket.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send authenticates a message and sends it. Messages that are too long or can't be sent are
// dropped silently, as lost datagrams are.
func (s *Socket) Send(name byte, address string, body []byte) {
	channel, target := s.resolve(name, address)
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

func (s *Socket) resolve(name byte, address string) (Channel, net.Addr) {
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

// receiveBackoffMs is the wait after a failed receive.
const receiveBackoffMs clock.Millis = 20

// Run dispatches messages to their channels until the context ends. It then closes the socket.
func (s *Socket) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxBytes+1)
	c, failing := clock.New(), false
	for {
		length, from, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !failing {
				s.logger.Warn("receive failed", zap.Error(err))
			}
			failing = true
			if c.Sleep(ctx, receiveBackoffMs) != nil {
				return
			}
			continue
		}
		failing = false
		guard.Do("datagram of another box", func() { s.receive(from.String(), buffer[:length]) })
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

// seal prepends the channel's name and the authentication code to a body.
func seal(key string, channel Channel, body []byte) []byte {
	data := make([]byte, 0, 1+channel.MACBytes+len(body))
	data = append(data, channel.Prefix)
	data = append(data, authCode(key, channel, body)...)
	return append(data, body...)
}

func authCode(key string, channel Channel, body []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	// Writing to a hash never fails.
	_, _ = mac.Write([]byte{channel.Prefix})
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:channel.MACBytes]
}

func open(keys []string, channel Channel, data []byte) ([]byte, error) {
	start := 1 + channel.MACBytes
	if len(data) <= start || len(data) > MaxBytes {
		return nil, ErrMalformed
	}
	body := data[start:]
	for _, key := range keys {
		if hmac.Equal(data[1:start], authCode(key, channel, body)) {
			return body, nil
		}
	}
	return nil, ErrUnauthentic
}
