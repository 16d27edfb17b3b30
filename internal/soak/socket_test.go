package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// Sizes and offsets, in bytes, of the messages of the kernel's sock_diag interface.
const (
	netlinkInetDiag   = 4
	sockDiagByFamily  = 20
	diagRequestBytes  = 72
	diagResponseInode = 84
)

// socketInode returns the inode of the TCP socket with the given addresses. It asks for this one
// socket, because /proc/net/tcp lists those of all processes, which takes tens of milliseconds.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkInetDiag)
	if err != nil {
		return 0, err
	}
	defer func() { _ = syscall.Close(fd) }()
	msg := make([]byte, diagRequestBytes)
	order := binary.NativeEndian
	order.PutUint32(msg, diagRequestBytes)
	order.PutUint16(msg[4:], sockDiagByFamily)
	order.PutUint16(msg[6:], syscall.NLM_F_REQUEST)
	msg[16], msg[17] = syscall.AF_INET, syscall.IPPROTO_TCP
	// All states, and below any cookie.
	order.PutUint32(msg[20:], ^uint32(0))
	binary.BigEndian.PutUint16(msg[24:], uint16(local.Port))
	binary.BigEndian.PutUint16(msg[26:], uint16(remote.Port))
	copy(msg[28:], local.IP.To4())
	copy(msg[44:], remote.IP.To4())
	order.PutUint64(msg[64:], ^uint64(0))
	if err := syscall.Sendto(fd, msg, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	buf := make([]byte, 1<<10)
	n, _, err := syscall.Recvfrom(fd, buf, 0)
	if err != nil {
		return 0, err
	}
	if n < diagResponseInode+4 {
		return 0, os.ErrNotExist
	}
	return order.Uint32(buf[diagResponseInode:]), nil
}

// ownsSocket reports whether a process has the other end of a connection.
func ownsSocket(pid int, conn net.Conn) bool {
	inode, err := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return false
	}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, file := range files {
		if target, _ := os.Readlink(file); target == fmt.Sprintf("socket:[%d]", inode) {
			return true
		}
	}
	return false
}
