package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// owners finds the boxes that opened connections. All boxes connect from the same IP address, so it looks up
// whose sockets have the addresses of a connection.
type owners struct {
	boxes  *sharedScan[map[string]string]
	inodes *sharedScan[map[endpoints]string]
	// inode asks the kernel for the inode of the socket that opened a connection.
	inode func(connection endpoints) string
	// queries is set once the kernel has answered a query for one socket. Some kernels can't.
	queries atomic.Bool
}

// newOwners returns owners for which scan returns the boxes by the inodes of their sockets.
func newOwners(scan func() map[string]string) *owners {
	return &owners{boxes: newSharedScan(scan), inodes: newSharedScan(socketInodes), inode: endpoints.inode}
}

// boxOf returns the name of the box that opened a connection, or "".
func (o *owners) boxOf(inbound net.Conn) string {
	connection := endpointsOf(inbound)
	inode := o.inode(connection)
	if inode != "" {
		o.queries.Store(true)
	} else if !o.queries.Load() {
		inode = o.inodes.get()[connection]
	}
	return o.boxes.get()[inode]
}

// sharedScan lets lookups that wait for each other share one scan: hundreds of connections open at once when a run
// starts, and a link forwards nothing before it knows the owner.
type sharedScan[T any] struct {
	scan func() T
	// scanning holds an element during a scan.
	scanning chan struct{}

	mu sync.Mutex
	// next is the scan that has not begun yet, or nil.
	next *pendingScan[T]
}

// pendingScan is a scan that several lookups wait for.
type pendingScan[T any] struct {
	done   chan struct{}
	result T
}

func newSharedScan[T any](scan func() T) *sharedScan[T] {
	return &sharedScan[T]{scan: scan, scanning: make(chan struct{}, 1)}
}

// get returns the result of a scan that begins after the call.
func (s *sharedScan[T]) get() T {
	s.mu.Lock()
	first := s.next == nil
	if first {
		s.next = &pendingScan[T]{done: make(chan struct{})}
	}
	pending := s.next
	s.mu.Unlock()
	if first {
		s.run(pending)
	}
	<-pending.done
	return pending.result
}

// run runs a scan once the one before has ended. Lookups that come from then on wait for the next scan.
func (s *sharedScan[T]) run(pending *pendingScan[T]) {
	s.scanning <- struct{}{}
	defer func() { <-s.scanning }()
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	pending.result = s.scan()
	close(pending.done)
}

// endpoints are the addresses of a connection as seen by the side that opened it. Both identify it: connections to
// different addresses may share a local port.
type endpoints struct{ local, remote netip.AddrPort }

// socketOwners returns the boxes by the inodes of their sockets.
func (f *fleet) socketOwners() map[string]string {
	f.mu.Lock()
	boxes := f.boxes
	f.mu.Unlock()
	byInode := map[string]string{}
	for _, b := range boxes {
		for _, inode := range b.process.sockets() {
			byInode[inode] = b.name
		}
	}
	return byInode
}

// Sizes and offsets of the kernel's messages on sockets, in bytes (linux/inet_diag.h).
const (
	diagRequestSize = unix.SizeofNlMsghdr + 56
	diagPorts       = unix.SizeofNlMsghdr + 8
	diagLocal       = diagPorts + 4
	diagRemote      = diagLocal + 16
	diagCookie      = diagRemote + 20
	diagInode       = unix.SizeofNlMsghdr + 68
	diagReplySize   = diagInode + 4
)

// inode asks the kernel for the inode of the socket that opened a connection. It is "" if the socket is gone or the
// kernel can't tell. The table of all sockets takes too long to read: it holds tens of thousands on a busy machine.
func (e endpoints) inode() string {
	request := make([]byte, diagRequestSize)
	order := binary.NativeEndian
	order.PutUint32(request, diagRequestSize)
	order.PutUint16(request[4:], unix.SOCK_DIAG_BY_FAMILY)
	order.PutUint16(request[6:], unix.NLM_F_REQUEST)
	request[unix.SizeofNlMsghdr], request[unix.SizeofNlMsghdr+1] = unix.AF_INET, unix.IPPROTO_TCP
	order.PutUint32(request[unix.SizeofNlMsghdr+4:], math.MaxUint32)
	binary.BigEndian.PutUint16(request[diagPorts:], e.local.Port())
	binary.BigEndian.PutUint16(request[diagPorts+2:], e.remote.Port())
	copy(request[diagLocal:], e.local.Addr().AsSlice())
	copy(request[diagRemote:], e.remote.Addr().AsSlice())
	order.PutUint64(request[diagCookie:], math.MaxUint64)
	reply, err := netlinkQuery(unix.NETLINK_SOCK_DIAG, request)
	if err != nil || len(reply) < diagReplySize || order.Uint16(reply[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return ""
	}
	return strconv.FormatUint(uint64(order.Uint32(reply[diagInode:])), 10)
}

// netlinkQuery sends a message to the kernel and returns its reply.
func netlinkQuery(protocol int, request []byte) ([]byte, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, protocol)
	if err != nil {
		return nil, fmt.Errorf("open netlink socket: %w", err)
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Sendto(fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, fmt.Errorf("query the kernel: %w", err)
	}
	reply := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(fd, reply, 0)
	if err != nil {
		return nil, fmt.Errorf("read the kernel's reply: %w", err)
	}
	return reply[:n], nil
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// socketInodes returns the inodes of the machine's connected IPv4 sockets.
func socketInodes() map[endpoints]string {
	inodes := map[endpoints]string{}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return inodes
	}
	defer func() { _ = table.Close() }()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) > columnInode && columns[columnInode] != "0" {
			inodes[endpoints{tableAddress(columns[columnLocal]), tableAddress(columns[columnRemote])}] = columns[columnInode]
		}
	}
	return inodes
}

// endpointsOf returns the endpoints of a connection that another process of this machine opened.
func endpointsOf(inbound net.Conn) endpoints {
	return endpoints{local: addressOf(inbound.RemoteAddr()), remote: addressOf(inbound.LocalAddr())}
}

// addressOf returns the IPv4 address and port of a TCP address, or the zero address.
func addressOf(address net.Addr) netip.AddrPort {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return netip.AddrPort{}
	}
	a := tcp.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// tableAddress parses an IPv4 address and port as /proc/net/tcp prints it.
func tableAddress(text string) netip.AddrPort {
	ip, port, _ := strings.Cut(text, ":")
	address, err := strconv.ParseUint(ip, 16, 32)
	if err != nil {
		return netip.AddrPort{}
	}
	number, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return netip.AddrPort{}
	}
	// The kernel prints the address as a number in the byte order of the machine.
	bytes := [4]byte{}
	binary.NativeEndian.PutUint32(bytes[:], uint32(address))
	return netip.AddrPortFrom(netip.AddrFrom4(bytes), uint16(number))
}

// sockets returns the inodes of the sockets of the box's processes.
func (p *process) sockets() []string {
	inodes := []string{}
	for _, i := range p.all() {
		if i.running() {
			inodes = append(inodes, socketsOf(i.command.Process.Pid)...)
		}
	}
	return inodes
}

func socketsOf(pid int) []string {
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil
	}
	inodes := []string{}
	for _, file := range files {
		target, err := os.Readlink(filepath.Join(folder, file.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); err == nil && found {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}
	return inodes
}
