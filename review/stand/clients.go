package stand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Answer is what a client got.
type Answer struct {
	Status  int
	FirstAt time.Duration // of its first byte
	At      time.Duration // of its last byte
	Err     error
}

// Exchange sends a request on a new connection and reads its answer.
func (c *Case) Exchange(addr, id, text string) Answer {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return Answer{Err: err, At: c.Since()}
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, text); err != nil {
		return Answer{Err: err, At: c.Since()}
	}
	nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	return c.ReadAnswer(bufio.NewReader(nc))
}

// ReadAnswer reads one answer.
func (c *Case) ReadAnswer(br *bufio.Reader) (a Answer) {
	res, err := http.ReadResponse(br, nil)
	a.FirstAt, a.At, a.Err = c.Since(), c.Since(), err
	if err != nil {
		return a
	}
	defer res.Body.Close()
	a.Status = res.StatusCode
	_, a.Err = io.Copy(io.Discard, res.Body)
	a.At = c.Since()
	return a
}

// Traffic sends requests at a steady pace until a time of the case, and waits for their answers.
func (c *Case) Traffic(until, every time.Duration, send func(n int)) (wait func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; c.Since() < until; n++ {
			wg.Go(func() { send(n) })
			time.Sleep(every)
		}
	})
	return wg.Wait
}
