package server

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// errUnopened is wrapped by the errors of a socket that could not be opened.
var errUnopened = errors.New("not open yet")

// Unopened is a listener or UDP socket that could not be opened. A Listener and a PacketConn open it like one that has
// failed.
type Unopened struct {
	address unopenedAddress
	err     error
}

// NewUnopened returns a socket that could not be opened at an address because of an error.
func NewUnopened(address string, err error) *Unopened {
	return &Unopened{address: unopenedAddress(address), err: fmt.Errorf("%w: %w", errUnopened, err)}
}

// IsUnopened reports whether a socket was returned by NewUnopened.
func IsUnopened(socket any) bool {
	_, unopened := socket.(*Unopened)
	return unopened
}

// Accept implements net.Listener.
func (u *Unopened) Accept() (net.Conn, error) { return nil, u.err }

// Addr implements net.Listener.
func (u *Unopened) Addr() net.Addr { return u.address }

// ReadFrom implements net.PacketConn.
func (u *Unopened) ReadFrom([]byte) (int, net.Addr, error) { return 0, nil, u.err }

// WriteTo implements net.PacketConn.
func (u *Unopened) WriteTo([]byte, net.Addr) (int, error) { return 0, u.err }

// LocalAddr implements net.PacketConn.
func (u *Unopened) LocalAddr() net.Addr { return u.address }

// Close implements net.Listener and net.PacketConn.
func (*Unopened) Close() error { return nil }

// SetDeadline implements net.PacketConn.
func (*Unopened) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn.
func (*Unopened) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn.
func (*Unopened) SetWriteDeadline(time.Time) error { return nil }

// unopenedAddress is the address that a socket is to have.
type unopenedAddress string

// Network implements net.Addr.
func (unopenedAddress) Network() string { return "unopened" }

// String implements net.Addr.
func (a unopenedAddress) String() string { return string(a) }
