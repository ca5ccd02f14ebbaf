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

// HTTP is one connection of the HTTP APIs, for one request at a time. It reads
// what is on the wire and nothing more, so that what is sent out of turn shows.
type HTTP struct {
	nc   net.Conn
	br   *bufio.Reader
	host string
	last bool // the router closes after its answer
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

// ErrOutOfTurn tells that something came that nothing was asked for.
var ErrOutOfTurn = errors.New("the router talks out of turn")

// Stands tells whether the connection may be used again: io.EOF tells that it
// may not, ErrOutOfTurn that something came on it.
func (h *HTTP) Stands() error {
	if h.last {
		return io.EOF
	}
	h.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer h.nc.SetReadDeadline(time.Time{})
	_, err := h.br.Peek(1)
	switch {
	case err == nil:
		return ErrOutOfTurn
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

// Head reads an answer's head, and gives its body.
func (h *HTTP) Head() (*http1.Response, *http1.Body, error) {
	for {
		res, err := http1.ReadResponse(h.br)
		if err != nil {
			return nil, nil, err
		}
		if res.Status < 200 {
			continue
		}
		h.last = res.Header.Has("Connection", "close")
		body, err := http1.ResponseBody(h.br, res)
		return res, body, err
	}
}

// Cut ends the connection at once.
func (h *HTTP) Cut() { h.nc.Close() }

// Close ends the connection, and tells what still came on it.
func (h *HTTP) Close() error {
	defer h.nc.Close()
	if c, ok := h.nc.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	h.nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	if rest, _ := io.ReadAll(io.LimitReader(h.br, 1<<10)); len(rest) > 0 {
		return fmt.Errorf("%w: %.40q", ErrOutOfTurn, rest)
	}
	return nil
}
