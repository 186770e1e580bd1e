package main

import (
	"io"
	"net"
)

// link relays the connections of one box to the store. Before it passes on data of the box, it calls the hook, which may
// wait: data on a connection whose packet was lost arrives once the packet was sent again.
func link(to string, hook func(data []byte)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go relay(conn, to, hook)
		}
	}()
	return l.Addr().String(), nil
}

func relay(conn net.Conn, to string, hook func(data []byte)) {
	defer conn.Close()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(conn, out)
		_ = conn.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			hook(buffer[:n])
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
