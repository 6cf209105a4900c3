package cfventry

import (
	"context"
	"net"
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// dropPackets makes the kernel drop what arrives for a connection, or stop that.
func dropPackets(t *testing.T, conn net.Conn, drop bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var setErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		if drop {
			none := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
			setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &none})
			return
		}
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}))
	assert.NilError(t, setErr)
}

// Guards against connections that end because their endpoint is silent for less than two seconds: a TCP_USER_TIMEOUT also ends them
// at the keep-alive probe after the first one that is lost. It runs on real time, since the kernel's timers decide.
func TestConnectionSurvivesASilentEndpoint(t *testing.T) {
	tests := map[string]struct {
		from, until time.Duration // of the silence, since the connection was opened
		request     time.Duration // when it is sent
	}{
		"a request is sent meanwhile":  {from: 0, until: 1900 * time.Millisecond, request: 100 * time.Millisecond},
		"a response is awaited":        {from: 950 * time.Millisecond, until: 2150 * time.Millisecond, request: 0},
		"nothing is sent or awaited":   {from: 200 * time.Millisecond, until: 2100 * time.Millisecond, request: 2200 * time.Millisecond},
		"it is silent for a moment":    {from: 950 * time.Millisecond, until: 1050 * time.Millisecond, request: 0},
		"a request is sent at its end": {from: 0, until: 1900 * time.Millisecond, request: 1800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			pools := newConnPools(func() time.Duration { return 0 }, func() {}, func(cfvfleet.Incarnation) {}, nil, nil)
			conn, err := pools.dial(context.Background(), "tcp", l.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			endpoint, err := l.Accept()
			assert.NilError(t, err)
			defer endpoint.Close()
			assert.NilError(t, endpoint.SetDeadline(time.Now().Add(6*time.Second)))
			answered := make(chan error, 1)
			request := time.AfterFunc(tt.request, func() { _, _ = conn.Write([]byte("ping")) })
			defer request.Stop()
			go func() {
				_, err := conn.Read(make([]byte, 4))
				answered <- err
			}()
			<-time.After(tt.from)
			dropPackets(t, endpoint, true)
			<-time.After(tt.until - tt.from)
			dropPackets(t, endpoint, false)
			_, err = endpoint.Read(make([]byte, 4))
			assert.NilError(t, err)
			response := time.AfterFunc(1500*time.Millisecond, func() { _, _ = endpoint.Write([]byte("pong")) })
			defer response.Stop()
			assert.NilError(t, <-answered)
		})
	}
}
