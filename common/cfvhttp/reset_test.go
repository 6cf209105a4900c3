package cfvhttp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a part of a response that looks complete: the server reset the connection while the upload was still being written, and
// the kernel reported the reset to the writer only.
func TestResponseThatIsResetDuringAnUploadIsNotComplete(t *testing.T) {
	const calls, part = 50, "part"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	partRead := make(chan struct{})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c := conn.(*net.TCPConn)
			_ = c.SetReadBuffer(4096)
			_ = c.SetLinger(0)
			_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16))
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+part)
			<-partRead
			_ = c.Close()
		}
	}()
	client := NewClient(time.Second, 1)
	complete := 0
	for range calls {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), bytes.NewReader(make([]byte, 16<<20)))
		assert.NilError(t, err)
		resp, err := client.Do(req)
		assert.NilError(t, err)
		_, err = io.ReadFull(resp.Body, make([]byte, len(part)))
		assert.NilError(t, err)
		partRead <- struct{}{}
		if _, err = io.ReadAll(resp.Body); err == nil {
			complete++
		}
		_ = resp.Body.Close()
	}
	assert.Equal(t, complete, 0, "of %d", calls)
}

// Guards against complete responses without a length that are taken for broken ones.
func TestResponseThatIsClosedAfterAnUploadIsComplete(t *testing.T) {
	const calls = 50
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\nwhole")
			_ = c.Close()
		}
	}()
	client := NewClient(time.Second, 1)
	for range calls {
		resp, err := client.Post("http://"+l.Addr().String(), "text/plain", bytes.NewReader(make([]byte, 1<<20)))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "whole")
		_ = resp.Body.Close()
	}
}
