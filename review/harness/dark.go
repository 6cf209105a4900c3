package main

import (
	"net"
	"net/netip"
	"syscall"
)

// darkAddr makes an address not respond, like that of a machine without power: connections to it hang, since the
// queue of a listener that accepts nothing is full. It returns a function that ends that.
func darkAddr(addr string) (free func(), err error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	filler, err := net.Dial("tcp", addr) // a queue of length 0 holds one connection
	if err != nil {
		return nil, err
	}
	return func() {
		_ = filler.Close()
		_ = syscall.Close(fd)
	}, nil
}
