package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// ownerOf returns which of some processes has opened a connection that was accepted, or -1. All processes connect from
// the same address.
func ownerOf(c net.Conn, all []*process) int {
	inode := inodeOf(c)
	for i, p := range all {
		if p == nil || inode == "" {
			continue
		}
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
		for _, l := range links {
			if target, err := os.Readlink(l); err == nil && target == "socket:["+inode+"]" {
				return i
			}
		}
	}
	return -1
}

// inodeOf returns the socket at the other end of a connection within this machine.
func inodeOf(c net.Conn) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	local, remote := tableAddress(c.RemoteAddr()), tableAddress(c.LocalAddr())
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == local && fields[2] == remote {
			return fields[9]
		}
	}
	return ""
}

// tableAddress returns an address as the kernel's table has it.
func tableAddress(a net.Addr) string {
	parsed := netip.MustParseAddrPort(a.String())
	ip := parsed.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port())
}
