package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"gannethook/internal/http1"
)

// HTTP is one connection to the HTTP APIs, for one request at a time. It has no background reader, so that unsolicited
// bytes from the router are detected.
type HTTP struct {
	nc      net.Conn
	br      *bufio.Reader
	host    string
	closing bool // the router closes the connection after this answer
}

// DialHTTP connects to a router.
func DialHTTP(ctx context.Context, addr string) (*HTTP, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &HTTP{nc: nc, br: bufio.NewReader(nc), host: addr}, nil
}

// ErrUnsolicited is returned if the router sent bytes without a request.
var ErrUnsolicited = errors.New("the router sent bytes without a request")

// CheckReusable returns nil if the connection can be reused, io.EOF if the router closes it, and ErrUnsolicited if it sent
// unsolicited bytes.
func (h *HTTP) CheckReusable() error {
	if h.closing {
		return io.EOF
	}
	h.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer h.nc.SetReadDeadline(time.Time{})
	_, err := h.br.Peek(1)
	switch {
	case err == nil:
		return ErrUnsolicited
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	}
	return err
}

// Post sends a request.
func (h *HTTP) Post(path string, header http1.Header, body []byte) error {
	bw := bufio.NewWriter(h.nc)
	http1.WriteHead(bw, "POST "+path+" HTTP/1.1", append(http1.Header{{Name: "Host", Value: h.host},
		{Name: "Content-Type", Value: "application/json"}, {Name: "Content-Length", Value: strconv.Itoa(len(body))}}, header...))
	bw.Write(body)
	return bw.Flush()
}

// ReadHead reads the head of the answer, skipping interim (1xx) responses, and returns it with the body.
func (h *HTTP) ReadHead() (*http1.Response, *http1.Body, error) {
	for {
		res, err := http1.ReadResponse(h.br)
		if err != nil {
			return nil, nil, err
		}
		if res.Status < 200 {
			continue
		}
		h.closing = res.Header.Has("Connection", "close")
		body, err := http1.ResponseBody(h.br, res)
		return res, body, err
	}
}

// Abort closes the connection at once.
func (h *HTTP) Abort() { h.nc.Close() }

// Close closes the connection, and returns ErrUnsolicited if the router still sent bytes on it.
func (h *HTTP) Close() error {
	defer h.nc.Close()
	if c, ok := h.nc.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	h.nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	if rest, _ := io.ReadAll(io.LimitReader(h.br, 1<<10)); len(rest) > 0 {
		return fmt.Errorf("%w: %.40q", ErrUnsolicited, rest)
	}
	return nil
}
