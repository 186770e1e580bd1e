package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// owners finds the boxes that opened connections. All boxes connect from the same IP address, so it looks up
// whose sockets have the addresses of a connection. Lookups that wait for each other share one scan of all
// sockets: hundreds of connections open at once when a run starts, and a link forwards nothing before it knows
// the owner.
type owners struct {
	// scan returns the boxes by the endpoints of their connections.
	scan func() map[endpoints]string
	// scanning holds an element during a scan.
	scanning chan struct{}

	mu sync.Mutex
	// next is the scan that has not begun yet, or nil.
	next *ownerScan
}

// ownerScan is a scan that several lookups wait for.
type ownerScan struct {
	done  chan struct{}
	boxes map[endpoints]string
}

// endpoints are the addresses of a connection as seen by the side that opened it. Both identify it: connections to
// different addresses may share a local port.
type endpoints struct{ local, remote string }

func newOwners(scan func() map[endpoints]string) *owners {
	return &owners{scan: scan, scanning: make(chan struct{}, 1)}
}

// boxOf returns the name of the box that opened a connection, or "".
func (o *owners) boxOf(inbound net.Conn) string {
	o.mu.Lock()
	first := o.next == nil
	if first {
		o.next = &ownerScan{done: make(chan struct{})}
	}
	scan := o.next
	o.mu.Unlock()
	if first {
		o.run(scan)
	}
	<-scan.done
	return scan.boxes[endpointsOf(inbound)]
}

// run runs a scan once the one before has ended. Lookups that come from then on wait for the next scan.
func (o *owners) run(scan *ownerScan) {
	o.scanning <- struct{}{}
	defer func() { <-o.scanning }()
	o.mu.Lock()
	o.next = nil
	o.mu.Unlock()
	scan.boxes = o.scan()
	close(scan.done)
}

// connectionOwners returns the boxes by the endpoints of their connections.
func (f *fleet) connectionOwners() map[endpoints]string {
	f.mu.Lock()
	boxes := f.boxes
	f.mu.Unlock()
	byInode := map[string]string{}
	for _, b := range boxes {
		for _, inode := range b.process.sockets() {
			byInode[inode] = b.name
		}
	}
	byEndpoints := map[endpoints]string{}
	for connection, inode := range socketInodes() {
		if name, found := byInode[inode]; found {
			byEndpoints[connection] = name
		}
	}
	return byEndpoints
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
			inodes[endpoints{local: columns[columnLocal], remote: columns[columnRemote]}] = columns[columnInode]
		}
	}
	return inodes
}

// endpointsOf returns the endpoints of a connection that another process of this machine opened.
func endpointsOf(inbound net.Conn) endpoints {
	return endpoints{local: tableAddress(inbound.RemoteAddr()), remote: tableAddress(inbound.LocalAddr())}
}

// tableAddress returns an IPv4 address and port as /proc/net/tcp prints it, or "".
func tableAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	// The kernel prints the address as a number in the byte order of the machine, which is little-endian.
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// sockets returns the inodes of the process's sockets.
func (p *process) sockets() []string {
	p.mu.Lock()
	running, pid := p.running(), 0
	if running {
		pid = p.command.Process.Pid
	}
	p.mu.Unlock()
	if !running {
		return nil
	}
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
