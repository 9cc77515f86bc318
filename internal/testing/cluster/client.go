package cluster

import (
	"net"
	"time"

	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/testing/historychecker"
	"ryepaddle/internal/testing/scenario"
)

// tenantName is the tenant of all requests.
const tenantName = "north"

// keyedPath is the path of requests with an idempotency key, and keyedClass their class.
const (
	keyedPath  = "/ops/hand-in"
	keyedClass = "hand-in"
)

// SendKeyed sends one request with an idempotency key to a runner and adds the outcome to the history.
func (c *Cluster) SendKeyed(n *Node, key string) historychecker.Response {
	sent := time.Since(c.started)
	status, body := SendRequest(n.clientLink.Addr(), keyedPath, key, c.opt.Timeout)
	response := historychecker.Response{Outcome: historychecker.OutcomeOf(status), Status: status}
	if response.Outcome == historychecker.Served {
		response.Result = body
	}
	c.History.Add(historychecker.Record{
		Key:      key,
		Runner:   n.Name,
		SentAt:   sent,
		EndedAt:  time.Since(c.started),
		Response: response,
	})
	return response
}

// SendRequest sends one uwsgi request to addr and returns the answer. The status is 0 if no complete
// answer was received within the timeout.
func SendRequest(addr, path, key string, timeout time.Duration) (status int, body string) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout)) // without a deadline the request only takes longer
	packet, err := uwsgi.Append(nil, &uwsgi.Request{Variables: []uwsgi.Variable{
		{Name: "PATH_INFO", Value: path},
		{Name: "HTTP_X_CUSTOMER", Value: tenantName},
		{Name: "REQUEST_METHOD", Value: "POST"},
		{Name: "HTTP_X_DEDUPE_KEY", Value: key},
	}})
	if err != nil {
		return 0, ""
	}
	if _, err := conn.Write(packet); err != nil {
		return 0, ""
	}
	status, text, isComplete := scenario.ReadAnswer(conn)
	if !isComplete {
		return 0, ""
	}
	return status, string(text)
}
