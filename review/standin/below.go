package standin

import (
	"io"
	"net"
	"net/http"
	"time"
)

// NewBackend starts a back end that answers each call after a latency, and returns its address.
func NewBackend(latency time.Duration) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		IdleTimeout: 10 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			time.Sleep(latency)
			_, _ = w.Write(append([]byte("reply to "), body...))
		}),
	}
	go server.Serve(l)
	return l.Addr().String(), nil
}

// NewRoster starts a roster, which reads all reports and answers none, and returns its address.
func NewRoster() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		b := make([]byte, 1500)
		for {
			if _, _, err := c.ReadFrom(b); err != nil {
				return
			}
		}
	}()
	return c.LocalAddr().String(), nil
}
