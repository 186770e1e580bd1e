package socket

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// Read is unix.Read for a descriptor that never blocks.
//
// The Go scheduler is not told of the calls of this file. Otherwise it would hand the processor of a thread that other
// processes keep from running within a call to a further thread, and create that one if there is none: the number of
// threads would follow the load of the machine, and the process would end where its user may have no more.
func Read(fd int, data []byte) (int, error) {
	n, err := transfer(unix.SYS_READ, fd, data)
	if err == nil {
		acquire(fd)
	}
	return n, err
}

// Write is unix.Write for a descriptor that never blocks.
func Write(fd int, data []byte) (int, error) {
	release()
	return transfer(unix.SYS_WRITE, fd, data)
}

func transfer(call uintptr, fd int, data []byte) (int, error) {
	n, _, code := unix.RawSyscall(call, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(data))), uintptr(len(data)))
	if code != 0 {
		return 0, code
	}
	return int(n), nil
}

// unread returns how many bytes wait to be read. Unlike a read with MSG_PEEK, it leaves an error of the connection to
// the reader.
func unread(fd int) (int, error) { return control(fd, unix.SIOCINQ) }

func tcpInfo(fd int) (*unix.TCPInfo, error) {
	info, size := &unix.TCPInfo{}, uint32(unix.SizeofTCPInfo)
	_, _, code := unix.RawSyscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(info)), uintptr(unsafe.Pointer(&size)), 0)
	if code != 0 {
		return nil, code
	}
	return info, nil
}

// queued returns how many bytes were written that the other side has not acknowledged.
func queued(fd int) (int, error) { return control(fd, unix.SIOCOUTQ) }

// control returns the number that a request to a device or socket writes.
func control(fd int, request uintptr) (int, error) {
	var n int32
	_, _, code := unix.RawSyscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(unsafe.Pointer(&n)))
	if code != 0 {
		return 0, code
	}
	return int(n), nil
}

// readyFor returns for which of some events a descriptor is ready, and whether it has failed, without waiting.
func readyFor(fd int, events int16) (int16, error) {
	one := unix.PollFd{Fd: int32(fd), Events: events} //nolint:gosec // A descriptor is a C int.
	var noWait unix.Timespec
	_, _, code := unix.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&one)), 1, uintptr(unsafe.Pointer(&noWait)),
		0, 0, 0)
	if code != 0 {
		return 0, code
	}
	return one.Revents, nil
}
