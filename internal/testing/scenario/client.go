package scenario

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/protocol/fastcgi"
)

// clientTimeout bounds a request of SendRequest.
const clientTimeout = 20 * time.Second

// Errors of SendRequest.
var (
	errTruncatedAnswer = errors.New("scenario: truncated answer")
	errNoAnswer        = errors.New("scenario: no answer")
)

// SendRequest sends one request to the platform's frontend on a new connection. The status is 0, with an error,
// if the connection was refused or broke.
func SendRequest(addr, id, class, key string) (status int, body string, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return 0, "", err
	}
	if _, err := c.Write(encodeFastCGIRequest(id, class, key)); err != nil {
		return 0, "", err
	}
	all, err := io.ReadAll(c)
	if err != nil {
		return 0, "", err
	}
	return DecodeAnswer(all)
}

// encodeFastCGIRequest returns the records of a request whose body is its key.
func encodeFastCGIRequest(id, class, key string) []byte {
	var params []byte
	for _, p := range [][2]string{
		{"SCRIPT_NAME", "/ops/" + class},
		{"REQUEST_METHOD", "POST"},
		{"HTTP_X_CALL_ID", id},
		{"HTTP_X_QUEUE_START", strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{"HTTP_X_SOURCE", "1"},
		{"HTTP_X_CUSTOMER", "north"},
		{"HTTP_X_HEAP_KB", "24.5"},
		{"HTTP_X_IMPORTANCE", "0.5"},
		{"HTTP_X_DEDUPE_KEY", key},
	} {
		params = fastcgi.AppendPair(params, p[0], p[1])
	}
	out := fastcgi.AppendBegin(nil, 1, fastcgi.BeginRequestBody{Role: fastcgi.Responder})
	out = fastcgi.Append(fastcgi.Append(out, fastcgi.Params, 1, params), fastcgi.Params, 1, nil)
	return fastcgi.Append(fastcgi.Append(out, fastcgi.Stdin, 1, []byte(key)), fastcgi.Stdin, 1, nil)
}

// DecodeAnswer decodes the FastCGI records of an answer. It returns an error if they are not complete.
func DecodeAnswer(records []byte) (status int, body string, err error) {
	var stdout []byte
	for len(records) > 0 {
		record, used, err := fastcgi.Read(records, fastcgi.MaxRecord)
		if err != nil || used == 0 {
			return 0, "", errTruncatedAnswer
		}
		records = records[used:]
		switch record.Type {
		case fastcgi.Stdout:
			stdout = append(stdout, record.Content...)
		case fastcgi.EndRequest:
			head, body, _ := strings.Cut(string(stdout), "\r\n\r\n")
			_, err := fmt.Sscanf(head, "Status: %d", &status)
			return status, body, err
		}
	}
	return 0, "", errNoAnswer
}
