package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// boxOf returns the name of the box that opened a connection, or "". All boxes connect from the same IP address, so it
// looks up whose socket has the remote port.
func (f *fleet) boxOf(inbound net.Conn) string {
	inode := socketInode(inbound)
	if inode == "" {
		return ""
	}
	f.mu.Lock()
	boxes := f.boxes
	f.mu.Unlock()
	for _, b := range boxes {
		if b.process.hasSocket(inode) {
			return b.name
		}
	}
	return ""
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// socketInode returns the inode of the socket at the other end of a connection between IPv4 addresses of this machine,
// or "". Both addresses identify it: connections to different addresses may share a local port.
func socketInode(inbound net.Conn) string {
	local, remote := tableAddress(inbound.RemoteAddr()), tableAddress(inbound.LocalAddr())
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) > columnInode && columns[columnLocal] == local && columns[columnRemote] == remote &&
			columns[columnInode] != "0" {
			return columns[columnInode]
		}
	}
	return ""
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

// hasSocket reports whether the process holds a socket.
func (p *process) hasSocket(inode string) bool {
	p.mu.Lock()
	running, pid := p.running(), 0
	if running {
		pid = p.command.Process.Pid
	}
	p.mu.Unlock()
	if !running {
		return false
	}
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(folder, file.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
